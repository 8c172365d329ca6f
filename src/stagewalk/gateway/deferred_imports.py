"""Defers the import of library parts that a gateway does not use at its start.

A gateway speaks HTTP/1.1 to callers, yet importing the server also brings its HTTP/2 and WebSocket
protocols, and importing the client its command line: a fifth of the time that a process takes from
start to ready, which all nodes spend at once when all are restarted.

`defer_unused_imports` must run before `hypercorn` and `httpx` are imported; later it does nothing
for what is imported already.
"""

from __future__ import annotations

import importlib
import sys
from types import ModuleType
from typing import Any

_CLIENT_COMMAND_LINE = "httpx._main"
"""The client prints a message instead where this can't be imported."""

_ANNOTATIONS_ONLY = ("h2", "h2.events")
"""The server names these in annotations, which are never evaluated."""

_DEFERRED_CLASSES = {
    "hypercorn.protocol.h2": "H2Protocol",
    "hypercorn.protocol.ws_stream": "WSStream",
}
"""The one class that other parts of the server import from each module."""


def defer_unused_imports() -> None:
    """Install placeholder modules for the unused parts."""
    if _CLIENT_COMMAND_LINE not in sys.modules:
        sys.modules[_CLIENT_COMMAND_LINE] = None  # type: ignore[assignment]
    if "hypercorn" in sys.modules or "h2" in sys.modules:
        return
    for name in _ANNOTATIONS_ONLY:
        sys.modules[name] = ModuleType(name)
    for name, class_name in _DEFERRED_CLASSES.items():
        module = ModuleType(name)
        setattr(module, class_name, _deferred_class(name, class_name))
        sys.modules[name] = module


def _deferred_class(module_name: str, class_name: str) -> type:
    """Return a class that imports the true one when it is first instantiated."""

    def create(_cls: type, *args: Any, **kwargs: Any) -> Any:
        _remove_placeholders()
        true_class = getattr(importlib.import_module(module_name), class_name)
        return true_class(*args, **kwargs)

    return type(class_name, (), {"__new__": create})


def _remove_placeholders() -> None:
    for name in (*_ANNOTATIONS_ONLY, *_DEFERRED_CLASSES):
        module = sys.modules.get(name)
        if module is not None and module.__spec__ is None:
            del sys.modules[name]
