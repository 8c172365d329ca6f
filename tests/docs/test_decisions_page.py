"""The page of decisions names modules and constants of the code, with the values in force.

Each module it names as the place of a rule has all its numeric constants on the page.
"""

from __future__ import annotations

import ast
import importlib
import re
from pathlib import Path
from types import ModuleType

import testtools

PAGE = Path(__file__).resolve().parents[2] / "docs" / "DECISIONS.md"
ROW = re.compile(r"^\| `([a-z_.]+)\.([A-Z]\w*)(?:\.(\w+))?` \| `([^`]+)` \|")
PLACE = re.compile(r"^\*Where:\* (.*)$")
MODULE = re.compile(r"`([a-z_.]+)`")


def module_at(path: str) -> ModuleType:
    return importlib.import_module(f"stagewalk.{path}")


def value_in_force(path: str, name: str, field: str | None) -> object:
    """Return a constant, the default of a settings type's field, or an entry by its key's name."""
    holder = getattr(module_at(path), name)
    if field is None:
        return holder
    if isinstance(holder, type):
        return getattr(holder(), field)
    return next(value for key, value in holder.items() if key.name == field)


def numeric_constants(module: ModuleType) -> set[str]:
    """Return the names of public numbers that a module assigns itself."""
    tree = ast.parse(Path(str(module.__file__)).read_text())
    targets = [node.targets[0] for node in tree.body if isinstance(node, ast.Assign)]
    names = {target.id for target in targets if isinstance(target, ast.Name)}
    return {
        name
        for name in names
        if name.isupper() and name[0] != "_" and isinstance(getattr(module, name), int | float)
    }


class DecisionsPageTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines = PAGE.read_text().splitlines()
        self.rows = [match.groups() for line in self.lines if (match := ROW.match(line))]

    def test_each_constant_has_the_value_in_force(self) -> None:
        self.assertGreater(len(self.rows), 50)
        for path, name, field, text in self.rows:
            expected = ast.literal_eval(text)
            self.assertEqual(expected, value_in_force(path, name, field), f"{path}.{name}")

    def test_each_constant_of_a_rule_is_on_the_page(self) -> None:
        listed = {(path, name) for path, name, _, _ in self.rows}
        for place in self.places():
            module = module_at(place)
            missing = {name for name in numeric_constants(module) if (place, name) not in listed}
            self.assertEqual(set(), missing, place)

    def places(self) -> list[str]:
        """Return the modules in which rules stand."""
        places = [match.group(1) for line in self.lines if (match := PLACE.match(line))]
        return [module for place in places for module in MODULE.findall(place)]
