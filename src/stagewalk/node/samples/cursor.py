"""The delivery cursor: which slots of a step its trainer has received, kept by the trainer.

The cursor is the complete delivery state, so any node can answer any pull, and a pull whose answer
was lost is repeated with the old cursor. A digest of the lot and a checksum in the cursor make sure
that a damaged cursor, or one of another lot, is rejected.
"""

from __future__ import annotations

import base64
import binascii
import zlib
from dataclasses import dataclass

import msgspec
import xxhash
from expression import Error, Ok, Result

CURSOR_FORMAT_VERSION = 1
"""Incremented when the encoding changes; a cursor of another format is rejected."""

MAXIMUM_CURSOR_CHARACTERS = 65536
"""Longest cursor that is decoded, to bound the work for malicious input."""


@dataclass(frozen=True, slots=True)
class CursorError:
    """Why a cursor was rejected, as a human-readable sentence."""

    detail: str


class _EncodedCursor(msgspec.Struct, frozen=True, array_like=True):
    """Wire form, in MessagePack.

    `checksum` is the xxHash64 of format, digest, slot count and bitmap together.
    """

    format_version: int
    lot_digest: int
    slot_count: int
    compressed_bitmap: bytes
    checksum: int


_DECODER = msgspec.msgpack.Decoder(_EncodedCursor)


def encode_cursor(lot_digest: int, slot_count: int, delivered: int) -> str:
    """Return the cursor for a set of delivered slots.

    Parameters
    ----------
    lot_digest
        xxHash64 of the lot's identity and contents.
    slot_count
        Number of slots of the lot.
    delivered
        Bit i is set if the slot at position i of the lot's order is delivered.
    """
    compressed = zlib.compress(_bitmap_bytes(slot_count, delivered), 6)
    checksum = _checksum(CURSOR_FORMAT_VERSION, lot_digest, slot_count, compressed)
    encoded = _EncodedCursor(CURSOR_FORMAT_VERSION, lot_digest, slot_count, compressed, checksum)
    octets = msgspec.msgpack.encode(encoded)
    return base64.urlsafe_b64encode(octets).rstrip(b"=").decode("ascii")


def decode_cursor(cursor: str, lot_digest: int, slot_count: int) -> Result[int, CursorError]:
    """Return the bitmap of delivered slots, or why the cursor is invalid for this lot.

    A trainer starts with the empty cursor, which means that nothing is delivered.
    """
    if not cursor:
        return Ok(0)
    if len(cursor) > MAXIMUM_CURSOR_CHARACTERS:
        return Error(CursorError("the cursor is too long"))
    try:
        octets = base64.b64decode(
            cursor.encode("ascii") + b"=" * (-len(cursor) % 4), altchars=b"-_", validate=True
        )
        encoded = _DECODER.decode(octets)
    except (UnicodeEncodeError, binascii.Error, msgspec.DecodeError):
        return Error(CursorError("the cursor is damaged"))
    return _check(encoded, lot_digest, slot_count)


def _check(encoded: _EncodedCursor, lot_digest: int, slot_count: int) -> Result[int, CursorError]:
    expected = _checksum(
        encoded.format_version, encoded.lot_digest, encoded.slot_count, encoded.compressed_bitmap
    )
    if encoded.checksum != expected:
        return Error(CursorError("the cursor is damaged"))
    if encoded.format_version != CURSOR_FORMAT_VERSION:
        return Error(CursorError(f"the cursor has the unknown format {encoded.format_version}"))
    if encoded.lot_digest != lot_digest or encoded.slot_count != slot_count:
        return Error(CursorError("the cursor belongs to another tenant, trainer, step or lot"))
    size = (slot_count + 7) // 8
    decompressor = zlib.decompressobj()
    try:
        bitmap = decompressor.decompress(encoded.compressed_bitmap, size + 1)
    except zlib.error:
        return Error(CursorError("the cursor is damaged"))
    delivered = int.from_bytes(bitmap, "little")
    if len(bitmap) != size or delivered >> slot_count:
        return Error(CursorError("the cursor is damaged"))
    return Ok(delivered)


def _bitmap_bytes(slot_count: int, delivered: int) -> bytes:
    return delivered.to_bytes((slot_count + 7) // 8, "little")


def _checksum(format_version: int, lot_digest: int, slot_count: int, compressed: bytes) -> int:
    header = f"{format_version}/{lot_digest}/{slot_count}/".encode()
    return xxhash.xxh64_intdigest(header + compressed)
