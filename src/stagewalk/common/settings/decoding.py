"""Decodes TOML settings files into validated types; errors name the invalid field."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from expression import Error, Ok, Result

from stagewalk.common.errors import StagewalkError
from stagewalk.common.settings.addresses import settings_error

Settings = TypeVar("Settings")

_FIELD_PATH = re.compile(r" - at `\$\.?([^`]*)`$")
_FIELD_NAME = re.compile(r"field `([^`]*)`")


def read_table(path: Path) -> Result[dict[str, Any], StagewalkError]:
    """Read a TOML file."""
    try:
        return Ok(tomllib.loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        return Error(settings_error("settings", f"can't read {path}: {error.strerror}"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Error(settings_error("settings", f"{path} is not TOML: {error}"))


def decode_table(
    table: dict[str, Any], settings_type: type[Settings]
) -> Result[Settings, StagewalkError]:
    """Convert a table into a settings type; the error names the invalid field."""
    try:
        return Ok(msgspec.convert(table, settings_type))
    except msgspec.ValidationError as error:
        message = str(error)
        return Error(settings_error(_field_of(message), _FIELD_PATH.sub("", message)))


def _field_of(message: str) -> str:
    path = _FIELD_PATH.search(message)
    name = _FIELD_NAME.search(message)
    parts = (path.group(1) if path else "", name.group(1) if name else "")
    return ".".join(part for part in parts if part)
