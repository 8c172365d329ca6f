"""Limits on the weight versions that may generate an item's text."""

from __future__ import annotations

import testtools

from stagewalk.gateway.batches.version_rules import VersionConflict, find_conflict, may_reuse
from tests.gateway.batches.support import batch_route

ANY, SINGLE = batch_route(), batch_route(single_version=True)


class VersionRulesTests(testtools.TestCase):
    def test_weights_below_the_batch_minimum_are_refused(self) -> None:
        self.assertIs(VersionConflict.TOO_OLD, find_conflict(1, [], 2, ANY))
        self.assertIsNone(find_conflict(2, [], 2, ANY))

    def test_versions_mix_unless_the_route_requires_a_single_one(self) -> None:
        self.assertIsNone(find_conflict(3, [2], 2, ANY))
        self.assertIsNone(find_conflict(3, [2], 2, None))
        self.assertIs(VersionConflict.CHANGED, find_conflict(3, [2], 2, SINGLE))
        self.assertIsNone(find_conflict(3, [3], 2, SINGLE))

    def test_text_is_reused_only_if_all_its_versions_fit(self) -> None:
        self.assertTrue(may_reuse([2, 3], 2, ANY))
        self.assertFalse(may_reuse([1, 3], 2, ANY))
        self.assertFalse(may_reuse([2, 3], 2, SINGLE))
        self.assertTrue(may_reuse([3], 2, SINGLE))
