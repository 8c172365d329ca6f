"""Defers imports of library modules that a gateway does not use at its start.

A gateway serves HTTP/1.1, but `hypercorn` also imports its HTTP/2 and WebSocket protocols, and
`httpx` its command line. Importing these takes a fifth of the time from a process's start until it
is ready, which all nodes spend at once when all are restarted.

`defer_unused_imports` must run before `hypercorn` and `httpx` are imported; modules that are
already imported are left alone.
"""

from __future__ import annotations

import importlib
import sys
from types import ModuleType
from typing import Any

_HTTPX_CLI = "httpx._main"
"""`httpx` falls back to printing a message if this module can't be imported."""

_ANNOTATIONS_ONLY = ("h2", "h2.events")
"""Modules that `hypercorn` uses in annotations only, which are never evaluated."""

_DEFERRED_CLASSES = {
    "hypercorn.protocol.h2": "H2Protocol",
    "hypercorn.protocol.ws_stream": "WSStream",
}
"""By module, the only class that the rest of `hypercorn` imports from it."""


def defer_unused_imports() -> None:
    """Install placeholders for the unused modules."""
    if _HTTPX_CLI not in sys.modules:
        sys.modules[_HTTPX_CLI] = None  # type: ignore[assignment]
    if "hypercorn" in sys.modules or "h2" in sys.modules:
        return
    for name in _ANNOTATIONS_ONLY:
        sys.modules[name] = ModuleType(name)
    for name, class_name in _DEFERRED_CLASSES.items():
        module = ModuleType(name)
        setattr(module, class_name, _deferred_class(name, class_name))
        sys.modules[name] = module


def _deferred_class(module_name: str, class_name: str) -> type:
    """Return a stand-in class that imports the real class and instantiates it instead."""

    def create(_cls: type, *args: Any, **kwargs: Any) -> Any:
        _remove_placeholders()
        real_class = getattr(importlib.import_module(module_name), class_name)
        return real_class(*args, **kwargs)

    return type(class_name, (), {"__new__": create})


def _remove_placeholders() -> None:
    for name in (*_ANNOTATIONS_ONLY, *_DEFERRED_CLASSES):
        module = sys.modules.get(name)
        if module is not None and module.__spec__ is None:
            del sys.modules[name]
