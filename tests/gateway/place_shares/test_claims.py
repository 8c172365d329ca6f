"""What nodes announce of their demand: small, and readable by other builds."""

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
"""What users allow a node for control."""

RUNNERS = 6
TENANTS = 1_000


class ClaimsTests(testtools.TestCase):
    def test_claims_survive_their_encoding(self) -> None:
        made = claims(demand(ALPHA, 12), demand(BETA, 3))
        encoded = msgspec.msgpack.encode(made)
        decoded = msgspec.msgpack.decode(encoded, type=tuple[ServiceClaims, ...])
        self.assertEqual(made, decoded)

    def test_who_asks_for_nothing_is_left_out(self) -> None:
        self.assertEqual((), claims(demand(ALPHA, 0)))

    def test_tenants_of_one_trainer_are_claimants_of_their_own(self) -> None:
        of = {claimant_key(Claimant(tenant, "h/m")) for tenant in (None, "", "a", "b")}
        self.assertEqual(4, len(of))

    def test_of_a_thousand_tenants_the_largest_are_named_and_the_rest_is_summed(self) -> None:
        demands = [demand(Claimant(f"t{n}", "h/m"), n) for n in range(1, TENANTS + 1)]
        (found,) = claims(*demands)
        self.assertEqual(MAXIMUM_ANNOUNCED_CLAIMS, len(found.claims))
        self.assertEqual(TENANTS - MAXIMUM_ANNOUNCED_CLAIMS, found.others)
        self.assertEqual(sum(d.items for d in demands), found.items)
        largest = {claimant_key(d.claimant) for d in demands[-MAXIMUM_ANNOUNCED_CLAIMS:]}
        self.assertEqual(largest, {claim.claimant for claim in found.claims})

    def test_a_step_that_begins_is_announced_at_once_and_little_things_are_not(self) -> None:
        small, grown = claims(demand(ALPHA, 100)), claims(demand(ALPHA, 140))
        self.assertTrue(has_significant_increase((), small))
        self.assertTrue(has_significant_increase(small, grown))
        self.assertFalse(has_significant_increase(grown, small))
        self.assertFalse(has_significant_increase(small, claims(demand(ALPHA, 110))))
        self.assertFalse(has_significant_increase((), claims(demand(ALPHA, 3))))

    def test_six_trainers_claims_take_a_tenth_of_what_a_node_may_use_for_control(self) -> None:
        each = PlaceDemand(
            Claimant("tenant-000000000071", "h/m"), "a-service-of-24-letters", 800, 3000
        )
        size = len(msgspec.msgpack.encode(build_claims([each])))
        read = RUNNERS * size / RENEWAL_INTERVAL_SECONDS
        self.assertLess(read, CONTROL_BYTES_PER_SECOND / 10)
