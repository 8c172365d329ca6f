"""What can't be sent in the head of a request is found, and named."""

from __future__ import annotations

import h11
import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.common.http_syntax import field_name_fault, field_value_fault, target_fault


def is_accepted(method: str, target: str, headers: list[tuple[str, str]]) -> bool:
    """Whether the library that sends requests accepts a head."""
    try:
        h11.Request(method=method, target=target, headers=[("host", "h"), *headers])
    except (h11.LocalProtocolError, UnicodeError):
        return False
    return True


class SyntaxTests(testtools.TestCase):
    def test_faults_name_the_character_and_its_position(self) -> None:
        self.assertEqual("has the character U+02BE at position 4", field_value_fault("Zarq\u02be"))
        self.assertEqual("has the character U+000A at position 1", field_value_fault("a\nb"))
        self.assertEqual("begins or ends with white space", field_value_fault(" a"))
        self.assertEqual("has the character U+0020 at position 1", field_name_fault("x y"))
        self.assertEqual("is empty", field_name_fault(""))
        self.assertEqual("does not begin with /", target_fault(""))
        self.assertEqual("has the character U+0007 at position 2", target_fault("/a\x07"))
        for target in ("/", "/a/../b?c=%41&d", '/a"b?'):
            self.assertIsNone(target_fault(target))

    @given(st.text(max_size=6), st.text(max_size=6), st.text(max_size=6))
    def test_what_has_no_fault_can_be_sent(self, name: str, value: str, path: str) -> None:
        if field_name_fault(name) is None and name.lower() not in ("host", "content-length"):
            self.assertTrue(is_accepted("POST", "/", [(name, "v")]), name)
        if field_value_fault(value) is None:
            self.assertTrue(is_accepted("POST", "/", [("x", value)]), value)
        if target_fault(f"/{path}") is None:
            self.assertTrue(is_accepted("POST", f"/{path}", []), path)
