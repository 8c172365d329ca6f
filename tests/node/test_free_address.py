"""`free_address` does not return an address twice before a listener is bound to it."""

from __future__ import annotations

import itertools
from collections import deque
from unittest import mock

import testtools

from tests.node import running_node


class FreeAddressTest(testtools.TestCase):
    def test_a_port_is_not_returned_twice_before_it_is_bound(self) -> None:
        every_port = range(running_node.FIRST_PORT, 32_000)
        with mock.patch.object(running_node, "_recent_ports", deque(maxlen=256)):
            first = running_node.free_address().port
            drawn = mock.Mock(side_effect=itertools.chain([first, first], every_port))
            with mock.patch.object(running_node.random, "randrange", drawn):
                self.assertNotEqual(first, running_node.free_address().port)
