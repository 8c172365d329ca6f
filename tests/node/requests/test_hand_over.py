"""A node that never ran a request hands its claim to one other node at most."""

from __future__ import annotations

import testtools

from stagewalk.common.identities import Incarnation, NodeName
from stagewalk.node.claims.notifications import ProposeClaim
from stagewalk.node.core.events import AttemptFailed, AttemptRefused
from stagewalk.node.core.instructions import StartAttempt
from stagewalk.node.requests.claim_value import decode_claim
from stagewalk.node.requests.config import RequestConfig
from stagewalk.node.requests.notifications import FetchAnswer
from tests.node.requests.support import KEY, Driver, Identity

CONFIG = RequestConfig()


def owner(sent: bool = False) -> Driver:
    """Return a node that won the claim and failed the request; `sent`: it may have run."""
    driver = Driver(CONFIG)
    driver.submit(repeatable=False, deadline=driver.now + 1.0)
    driver.decide()
    if sent:
        driver.handle(AttemptFailed(driver.last_start().attempt, True, "reset"))
    while not driver.errors():
        driver.handle(AttemptRefused(driver.last_start().attempt, "draining"))
        driver.advance(0.1)
    assert KEY not in driver.core._store.records
    return driver


def nonce(driver: Driver) -> str:
    claim = decode_claim(driver.of(ProposeClaim)[0].value)
    assert claim is not None
    return claim.nonce


def asker(owners: Driver) -> Driver:
    """Return another node with the same request, waiting for the claim's owner."""
    identity = Identity(name=NodeName("n2"), incarnation=Incarnation(7))
    driver = Driver(CONFIG, seed=2, identity=identity)
    driver.submit(repeatable=False, deadline=driver.now + 20.0)
    driver.decide(False, owners.of(ProposeClaim)[0].value)
    return driver


class HandOverTest(testtools.TestCase):
    def test_a_claim_is_handed_over_once_and_only_for_its_nonce(self) -> None:
        driver = owner()
        self.assertFalse(driver.core.hand_over_claim(KEY, "another nonce", driver.now))
        self.assertTrue(driver.core.hand_over_claim(KEY, nonce(driver), driver.now))
        self.assertFalse(driver.core.hand_over_claim(KEY, nonce(driver), driver.now))

    def test_the_owner_runs_nothing_after_handing_over_its_claim(self) -> None:
        driver = owner()
        given = driver.of(ProposeClaim)[0].value
        driver.core.hand_over_claim(KEY, nonce(driver), driver.now)
        driver.outputs.clear()
        driver.submit(repeatable=False, deadline=driver.now + 20.0)
        driver.decide(False, given)
        self.assertEqual([], driver.of(StartAttempt))
        self.assertEqual("unknown", driver.errors()[0].ran)

    def test_a_request_that_may_have_run_keeps_its_claim(self) -> None:
        driver = owner(sent=True)
        self.assertFalse(driver.core.hand_over_claim(KEY, nonce(driver), driver.now))

    def test_the_new_holder_sends_it_once(self) -> None:
        driver = asker(owner())
        query = driver.of(FetchAnswer)[0].query_id
        for query_id in (query + 1, query, query):
            driver.take(driver.core.claim_handed_over(KEY, query_id, driver.now))
        self.assertEqual(1, len(driver.of(StartAttempt)))

    def test_a_late_reply_to_an_earlier_query_is_ignored(self) -> None:
        owners = owner()
        driver = asker(owners)
        early = driver.of(FetchAnswer)[0].query_id
        driver.advance(CONFIG.fetch_timeout_seconds + 1.0)
        driver.submit(repeatable=False, deadline=driver.now + 20.0)
        driver.decide(False, owners.of(ProposeClaim)[0].value)
        driver.take(driver.core.claim_handed_over(KEY, early, driver.now))
        self.assertEqual([], driver.of(StartAttempt))
