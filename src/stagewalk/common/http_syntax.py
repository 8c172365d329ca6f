"""Which texts may be sent in the head of an HTTP request (RFC 9110, section 5; RFC 9112). Pure.

Callers' requests are read by the server, which accepts nothing else. Requests that arrive as data,
such as the items of a batch, are checked here before they are accepted.
"""

from __future__ import annotations

import re

_NOT_IN_NAME = re.compile(r"[^!#$%&'*+.^_`|~0-9A-Za-z-]")
_NOT_IN_VALUE = re.compile(r"[^\t\x20-\x7e]")
_NOT_IN_TARGET = re.compile(r"[^\x21-\x7e]")


def field_name_fault(name: str) -> str | None:
    """Return why a text is not the name of a header field, None if it is one."""
    return "is empty" if not name else _first_fault(_NOT_IN_NAME, name)


def field_value_fault(value: str) -> str | None:
    """Return why a text can't be sent as the value of a header field, None if it can.

    Values are limited to ASCII: HTTP doesn't define the encoding of other characters.
    """
    if value != value.strip(" \t"):
        return "begins or ends with white space"
    return _first_fault(_NOT_IN_VALUE, value)


def target_fault(target: str) -> str | None:
    """Return why a text is not a request target in origin form, None if it is one."""
    return (
        _first_fault(_NOT_IN_TARGET, target) if target.startswith("/") else "does not begin with /"
    )


def _first_fault(illegal: re.Pattern[str], text: str) -> str | None:
    found = illegal.search(text)
    if found is None:
        return None
    return f"has the character U+{ord(found.group()):04X} at position {found.start()}"
