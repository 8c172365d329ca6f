"""Makes the kernel drop new connections of a listening socket before it is closed.

A classic BPF filter on the listener drops the SYN of each new connection. The caller's kernel
retransmits it a second later and is then refused, which proves to the caller that its request was
not sent. Established connections are unaffected. On systems other than Linux no filter is set.
"""

from __future__ import annotations

import contextlib
import ctypes
import socket

SO_ATTACH_FILTER = 26
"""Socket option of Linux, see socket(7); `socket` has no name for it."""

BPF_RETURN_CONSTANT = 0x06
"""Filter instruction: keep as many bytes of the packet as the constant says."""


class _FilterInstruction(ctypes.Structure):
    """`struct sock_filter` of Linux."""

    _fields_ = (
        ("code", ctypes.c_uint16),
        ("jump_if_true", ctypes.c_uint8),
        ("jump_if_false", ctypes.c_uint8),
        ("constant", ctypes.c_uint32),
    )


class _FilterProgram(ctypes.Structure):
    """`struct sock_fprog` of Linux."""

    _fields_ = (("length", ctypes.c_uint16), ("instructions", ctypes.POINTER(_FilterInstruction)))


def drop_new_connections(listener: socket.socket) -> None:
    """Drop packets for the listener itself; does nothing on a system without such filters."""
    drop_all = _FilterInstruction(BPF_RETURN_CONSTANT, 0, 0, 0)
    program = _FilterProgram(1, ctypes.pointer(drop_all))
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(program))
