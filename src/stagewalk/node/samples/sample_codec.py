"""Samples as values of the claim register: the stored form, which other nodes and releases read."""

from __future__ import annotations

import zlib

import msgspec

from stagewalk.common.identities import SampleSlotKey, WeightVersion
from stagewalk.node.core.completions import VersionSpan
from stagewalk.node.core.rollouts import Sample

SAMPLE_CLAIM_KEY_PREFIX = "slot/"
"""Begins the keys of all claims that decide slots."""

_MINIMUM_COMPRESSED_BYTES = 256
"""Text shorter than this is stored as it is."""


class _EncodedSample(msgspec.Struct, frozen=True, array_like=True):
    """MessagePack form of a sample; `text` is compressed if `compressed` says so."""

    sample_id: str
    compressed: bool
    text: bytes
    token_count: int
    spans: tuple[tuple[int, int], ...]
    score: float


_DECODER = msgspec.msgpack.Decoder(_EncodedSample)


def sample_claim_key(slot: SampleSlotKey, generation: int, lot_digest: int) -> str:
    """Return the key of the claim that decides a slot's sample.

    A generation whose chosen sample grew too stale is dead; the next one has a key of its own.
    So has a step that was submitted elsewhere with other prompts: its samples are not this one's.
    """
    return f"{SAMPLE_CLAIM_KEY_PREFIX}{slot}/{generation}/{lot_digest:016x}"


def encode_sample(sample: Sample) -> bytes:
    """Return a sample as octets, without its slot, which the claim's key names."""
    text = sample.text.encode()
    compressed = len(text) >= _MINIMUM_COMPRESSED_BYTES
    return msgspec.msgpack.encode(
        _EncodedSample(
            sample.sample_id,
            compressed,
            zlib.compress(text, 1) if compressed else text,
            sample.token_count,
            tuple((span.version, span.token_count) for span in sample.spans),
            sample.score,
        )
    )


def decode_sample(slot: SampleSlotKey, value: bytes, now: float) -> Sample | None:
    """Return the sample in a claim's value, or None if it is not one.

    `now` becomes its `finished_at`: clocks of other nodes mean nothing here.
    """
    try:
        encoded = _DECODER.decode(value)
        octets = zlib.decompress(encoded.text) if encoded.compressed else encoded.text
        text = octets.decode()
    except (msgspec.DecodeError, zlib.error, UnicodeDecodeError):
        return None
    if not encoded.spans:
        return None
    spans = tuple(VersionSpan(WeightVersion(version), count) for version, count in encoded.spans)
    return Sample(slot, encoded.sample_id, text, encoded.token_count, spans, encoded.score, now)
