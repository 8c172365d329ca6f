"""The delivery cursor: which slots of a step its trainer holds, carried by the trainer itself.

The cursor is the whole delivery state. A node that gets one needs no memory of earlier pulls, so
any node may answer any pull, and a pull whose answer was lost is repeated with the old cursor.
It is bound to its lot by a digest and guarded by a checksum: a foreign or damaged cursor is
refused, never guessed at.
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
"""Raised when the encoding changes; a cursor of another format is refused."""

MAXIMUM_CURSOR_CHARACTERS = 65536
"""Longest cursor looked at, against hostile input."""


@dataclass(frozen=True, slots=True)
class CursorFault:
    """Why a cursor was refused, in one sentence for a person."""

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


def decode_cursor(cursor: str, lot_digest: int, slot_count: int) -> Result[int, CursorFault]:
    """Return the set of delivered slots, or why the cursor is not one of this lot.

    The empty cursor is the one that a trainer begins with: nothing is delivered.
    """
    if not cursor:
        return Ok(0)
    if len(cursor) > MAXIMUM_CURSOR_CHARACTERS:
        return Error(CursorFault("the cursor is too long"))
    try:
        octets = base64.b64decode(
            cursor.encode("ascii") + b"=" * (-len(cursor) % 4), altchars=b"-_", validate=True
        )
        encoded = _DECODER.decode(octets)
    except (UnicodeEncodeError, binascii.Error, msgspec.DecodeError):
        return Error(CursorFault("the cursor is damaged"))
    return _check(encoded, lot_digest, slot_count)


def _check(encoded: _EncodedCursor, lot_digest: int, slot_count: int) -> Result[int, CursorFault]:
    expected = _checksum(
        encoded.format_version, encoded.lot_digest, encoded.slot_count, encoded.compressed_bitmap
    )
    if encoded.checksum != expected:
        return Error(CursorFault("the cursor is damaged"))
    if encoded.format_version != CURSOR_FORMAT_VERSION:
        return Error(CursorFault(f"the cursor has the unknown format {encoded.format_version}"))
    if encoded.lot_digest != lot_digest or encoded.slot_count != slot_count:
        return Error(CursorFault("the cursor belongs to another tenant, trainer, step or lot"))
    size = (slot_count + 7) // 8
    decompressor = zlib.decompressobj()
    try:
        bitmap = decompressor.decompress(encoded.compressed_bitmap, size + 1)
    except zlib.error:
        return Error(CursorFault("the cursor is damaged"))
    delivered = int.from_bytes(bitmap, "little")
    if len(bitmap) != size or delivered >> slot_count:
        return Error(CursorFault("the cursor is damaged"))
    return Ok(delivered)


def _bitmap_bytes(slot_count: int, delivered: int) -> bytes:
    return delivered.to_bytes((slot_count + 7) // 8, "little")


def _checksum(format_version: int, lot_digest: int, slot_count: int, compressed: bytes) -> int:
    header = f"{format_version}/{lot_digest}/{slot_count}/".encode()
    return xxhash.xxh64_intdigest(header + compressed)
