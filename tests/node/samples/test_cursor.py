"""Tests that cursors round-trip, and that damaged ones and those of other lots are rejected."""

from __future__ import annotations

import string

import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.node.samples.cursor import MAXIMUM_CURSOR_CHARACTERS, decode_cursor, encode_cursor

DIGEST = 0x1234_5678_9ABC_DEF0
CHARACTERS = string.printable + "éß\u2028"


class CursorTest(testtools.TestCase):
    @given(st.integers(1, 300), st.data())
    def test_comes_back_as_given_out(self, slots: int, data: st.DataObject) -> None:
        delivered = data.draw(st.integers(0, (1 << slots) - 1))
        cursor = encode_cursor(DIGEST, slots, delivered)
        self.assertEqual(delivered, decode_cursor(cursor, DIGEST, slots).ok)

    def test_empty_cursor_means_nothing_delivered(self) -> None:
        self.assertEqual(0, decode_cursor("", DIGEST, 8).ok)

    def test_cursor_of_another_lot_is_rejected(self) -> None:
        cursor = encode_cursor(DIGEST, 8, 0b1010)
        self.assertTrue(decode_cursor(cursor, DIGEST + 1, 8).is_error())
        self.assertTrue(decode_cursor(cursor, DIGEST, 9).is_error())

    @given(st.data())
    def test_any_changed_character_is_refused_or_changes_nothing(self, data: st.DataObject) -> None:
        delivered = (1 << 77) | 0b1011
        cursor = encode_cursor(DIGEST, 100, delivered)
        position = data.draw(st.integers(0, len(cursor) - 1))
        character = data.draw(st.sampled_from(CHARACTERS))
        changed = cursor[:position] + character + cursor[position + 1 :]
        decoded = decode_cursor(changed, DIGEST, 100)
        # The last character carries bits that no octet uses: changing them changes nothing.
        self.assertTrue(decoded.is_error() or decoded.ok == delivered)

    @given(st.text(min_size=1))
    def test_any_text_is_refused(self, text: str) -> None:
        self.assertTrue(decode_cursor(text, DIGEST, 100).is_error())

    def test_too_long_cursor_is_rejected(self) -> None:
        self.assertTrue(decode_cursor("A" * (MAXIMUM_CURSOR_CHARACTERS + 4), DIGEST, 8).is_error())

    def test_full_lot_of_the_largest_size_fits(self) -> None:
        alternating = int("10" * 32768, 2)
        cursor = encode_cursor(DIGEST, 65536, alternating)
        self.assertLess(len(cursor), MAXIMUM_CURSOR_CHARACTERS)
        self.assertEqual(alternating, decode_cursor(cursor, DIGEST, 65536).ok)
