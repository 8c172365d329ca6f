"""Announced claims: their content, size and encoding."""

from __future__ import annotations

import msgspec
import testtools

from stagewalk.gateway.directory.renewals import RENEWAL_INTERVAL_SECONDS
from stagewalk.gateway.place_shares.claims import (
    MAXIMUM_ANNOUNCED_CLAIMS,
    ServiceClaims,
    build_claims,
    claimant_key,
    has_significant_increase,
)
from stagewalk.gateway.place_shares.demand import Claimant, PlaceDemand
from tests.gateway.place_shares.support import ALPHA, BETA, claims, demand

CONTROL_BYTES_PER_SECOND = 4_000
"""Bytes per second that a node may use for control traffic."""

RUNNERS = 6
TENANTS = 1_000


class ClaimsTests(testtools.TestCase):
    def test_claims_survive_encoding(self) -> None:
        made = claims(demand(ALPHA, 12), demand(BETA, 3))
        encoded = msgspec.msgpack.encode(made)
        decoded = msgspec.msgpack.decode(encoded, type=tuple[ServiceClaims, ...])
        self.assertEqual(made, decoded)

    def test_claimants_without_items_are_omitted(self) -> None:
        self.assertEqual((), claims(demand(ALPHA, 0)))

    def test_each_tenant_of_a_trainer_has_its_own_key(self) -> None:
        keys = {claimant_key(Claimant(tenant, "h/m")) for tenant in (None, "", "a", "b")}
        self.assertEqual(4, len(keys))

    def test_the_largest_claims_are_listed_and_the_others_summed(self) -> None:
        demands = [demand(Claimant(f"t{n}", "h/m"), n) for n in range(1, TENANTS + 1)]
        (found,) = claims(*demands)
        self.assertEqual(MAXIMUM_ANNOUNCED_CLAIMS, len(found.claims))
        self.assertEqual(TENANTS - MAXIMUM_ANNOUNCED_CLAIMS, found.others)
        self.assertEqual(sum(d.items for d in demands), found.items)
        largest = {claimant_key(d.claimant) for d in demands[-MAXIMUM_ANNOUNCED_CLAIMS:]}
        self.assertEqual(largest, {claim.claimant for claim in found.claims})

    def test_only_a_large_increase_is_significant(self) -> None:
        small, grown = claims(demand(ALPHA, 100)), claims(demand(ALPHA, 140))
        self.assertTrue(has_significant_increase((), small))
        self.assertTrue(has_significant_increase(small, grown))
        self.assertFalse(has_significant_increase(grown, small))
        self.assertFalse(has_significant_increase(small, claims(demand(ALPHA, 110))))
        self.assertFalse(has_significant_increase((), claims(demand(ALPHA, 3))))

    def test_claims_of_six_trainers_take_less_than_a_tenth_of_the_control_traffic(self) -> None:
        each = PlaceDemand(
            Claimant("tenant-000000000071", "h/m"), "a-service-of-24-letters", 800, 3000
        )
        size = len(msgspec.msgpack.encode(build_claims([each])))
        read = RUNNERS * size / RENEWAL_INTERVAL_SECONDS
        self.assertLess(read, CONTROL_BYTES_PER_SECOND / 10)
