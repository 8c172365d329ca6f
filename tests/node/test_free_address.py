"""Addresses that tests give to listeners are not given out twice before they are bound."""

from __future__ import annotations

from unittest import mock

import testtools

from tests.node import running_node


class FreeAddressTest(testtools.TestCase):
    def test_a_port_that_was_given_out_and_not_bound_yet_is_not_given_out_again(self) -> None:
        first = running_node.free_address().port
        drawn = mock.Mock(side_effect=[first, first, first + 1, first + 2])
        with mock.patch.object(running_node.random, "randrange", drawn):
            self.assertNotEqual(first, running_node.free_address().port)
