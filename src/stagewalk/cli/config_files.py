"""Reads operators' change files and their templates from disk.

`node.configuration` parses and validates their contents.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

from expression import Error, Ok, Result

from stagewalk.common.errors import StagewalkError
from stagewalk.node.configuration.parameters import TenantParameters
from stagewalk.node.configuration.records import invalid
from stagewalk.node.configuration.templates import (
    ChangeFile,
    Template,
    parse_change_file,
    parse_template,
    resolve_parameters,
)

TEMPLATES_FOLDER = "templates"


@dataclass(frozen=True, slots=True)
class DesiredTenant:
    """A change file with its template filled in."""

    file: ChangeFile
    parameters: TenantParameters


def load_desired_tenant(
    path: Path, templates: Path | None
) -> Result[DesiredTenant, StagewalkError]:
    """Read a change file and fill in its template.

    Parameters
    ----------
    templates
        Folder of templates; None looks for a folder `templates` beside the file's own folder,
        then within it.
    """
    content = _read(path, None)
    if content.is_error():
        return Error(content.error)
    change = parse_change_file(content.ok)
    if change.is_error():
        return Error(_located(change.error, path))
    template = _load_template(change.ok.template, path, templates)
    if template.is_error():
        return Error(template.error)
    parameters = resolve_parameters(template.ok, change.ok)
    if parameters.is_error():
        return Error(_located(parameters.error, path))
    return Ok(DesiredTenant(change.ok, parameters.ok))


def _load_template(
    name: str, change_path: Path, templates: Path | None
) -> Result[Template, StagewalkError]:
    folder = change_path.resolve().parent
    candidates = [templates] if templates else [folder.parent, folder]
    folders = candidates if templates else [each / TEMPLATES_FOLDER for each in candidates]
    for each in folders:
        path = each / f"{name}.toml"
        if path.is_file():
            return _parse_template(path)
    searched = ", ".join(str(each) for each in folders)
    return Error(invalid(f"no {name}.toml in {searched}", "template"))


def _parse_template(path: Path) -> Result[Template, StagewalkError]:
    parsed = _read(path, "template").bind(parse_template)
    return parsed.map_error(lambda error: _located(error, path))


def _read(path: Path, field: str | None) -> Result[bytes, StagewalkError]:
    try:
        return Ok(path.read_bytes())
    except OSError as error:
        return Error(invalid(f"{path}: {error.strerror}", field))


def _located(error: StagewalkError, path: Path) -> StagewalkError:
    return replace(error, detail=f"{path.name}: {error.detail}")
