"""The state machine is deterministic, its revisions only grow, and no payload makes it raise."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.common.identities import ModelName, TenantName, WeightVersion
from stagewalk.node.configuration.outcomes import (
    ChangeAccepted,
    ChangeOutcome,
    ChangeRejected,
    ChangeRepeated,
    RejectionReason,
)
from stagewalk.node.configuration.parameters import TenantParameters
from stagewalk.node.configuration.records import AnyChange, encode_change
from stagewalk.node.configuration.state_machine import (
    MAXIMUM_HISTORY_ENTRIES,
    MAXIMUM_KEPT_REVISIONS,
    ConfigurationStateMachine,
)
from stagewalk.node.core.platform import LogRecord
from tests.node.configuration.records import (
    change,
    create,
    delete,
    log_record,
    parameters,
    publish,
    roll_back,
)

CATALOGUE = TenantName("catalogue")

tenants = st.sampled_from(["catalogue", "advice", "tuning"])
partners = st.sampled_from(["amman", "thornfield"])
bases = st.integers(0, 4)
values = st.builds(
    parameters,
    share=st.sampled_from([0.1, 0.4, 0.7, 1.0]),
    model=st.sampled_from(["qari-2", "rollout-lm"]),
    bound=st.integers(0, 3),
)
changes = st.one_of(
    st.builds(create, tenants, partners, bases, values),
    st.builds(change, bases, values, tenants, partners),
    st.builds(delete, bases, tenants, partners),
    st.builds(roll_back, bases, bases),
)
payloads = st.one_of(changes.map(encode_change), st.binary(max_size=60))
record_ids = st.one_of(
    st.integers(0, 30).map(lambda n: f"r{n}"), st.sampled_from(["", "a b", "\ud800", "x" * 200])
)
prefixes = st.lists(st.tuples(record_ids, payloads), max_size=40)


def records_of(prefix: list[tuple[str, bytes]]) -> list[LogRecord]:
    return [
        log_record(offset, payload, record_id) for offset, (record_id, payload) in enumerate(prefix)
    ]


def rejection(outcome: ChangeOutcome) -> tuple[RejectionReason, str | None]:
    assert isinstance(outcome, ChangeRejected), outcome
    return outcome.reason, outcome.field


class FoldRulesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fold = ConfigurationStateMachine()

    def apply(self, *published: AnyChange) -> ChangeOutcome:
        outcomes = [publish(self.fold, each) for each in published]
        return outcomes[-1]

    def test_revisions_continue_after_deletion_of_a_tenant(self) -> None:
        steps = (
            create(),
            change(1, parameters(bound=7)),
            roll_back(2, 1),
            delete(3),
            create(base=4),
        )
        outcomes = [publish(self.fold, step) for step in steps]
        self.assertEqual([ChangeAccepted(n) for n in range(1, 6)], outcomes)
        self.assertEqual(5, self.fold.tenants[CATALOGUE].revision)

    def test_rollback_restores_old_parameters_as_a_new_revision(self) -> None:
        self.apply(create(), change(1, parameters(bound=7)), roll_back(2, 1))
        tenant = self.fold.tenants[CATALOGUE]
        self.assertEqual((3, 1), (tenant.revision, tenant.parameters.staleness_bound_versions))

    def test_rollback_to_a_dropped_revision_is_rejected(self) -> None:
        self.apply(create(), *(change(base) for base in range(1, MAXIMUM_KEPT_REVISIONS + 1)))
        outcome = self.apply(roll_back(MAXIMUM_KEPT_REVISIONS + 1, 1))
        self.assertEqual((RejectionReason.UNKNOWN_REVISION, "to_revision"), rejection(outcome))

    def test_first_of_two_concurrent_changes_in_the_log_wins(self) -> None:
        outcome = self.apply(create(), change(1, parameters(bound=7)), change(1))
        self.assertEqual((RejectionReason.STALE_REVISION, "base_revision"), rejection(outcome))
        self.assertEqual(7, self.fold.tenants[CATALOGUE].parameters.staleness_bound_versions)

    def test_partner_cannot_change_tenant_of_another_partner(self) -> None:
        self.apply(create())
        for foreign in (change(1, partner="thornfield"), delete(1, partner="thornfield")):
            self.assertEqual(
                (RejectionReason.NOT_OWNER, "partner"), rejection(publish(self.fold, foreign))
            )
        self.apply(delete(1))
        outcome = self.apply(create(partner="thornfield", base=2))
        self.assertEqual(RejectionReason.NOT_OWNER, rejection(outcome)[0])

    def test_change_that_overcommits_a_pool_is_rejected(self) -> None:
        self.apply(create(values=parameters(0.7)))
        outcome = self.apply(create("advice", "thornfield", 0, parameters(0.4)))
        expected = (RejectionReason.POOL_OVERCOMMITTED, "parameters.capacity_share")
        self.assertEqual(expected, rejection(outcome))
        other_pool = create("advice", "thornfield", 0, parameters(0.4, "rollout-lm"))
        self.assertEqual(ChangeAccepted(1), self.apply(other_pool))
        tenths = [create(f"tenth{n}", values=parameters(0.1)) for n in range(3)]
        self.assertEqual(ChangeAccepted(1), self.apply(*tenths))

    def test_rollback_is_checked_against_current_pool_shares(self) -> None:
        self.apply(create(values=parameters(0.9)), change(1, parameters(0.2)))
        self.apply(create("advice", "thornfield", 0, parameters(0.5)))
        outcome = self.apply(roll_back(2, 1))
        self.assertEqual(RejectionReason.POOL_OVERCOMMITTED, rejection(outcome)[0])

    def test_record_appended_twice_is_applied_once(self) -> None:
        first = publish(self.fold, create(), "same")
        second = publish(self.fold, create(), "same")
        self.assertEqual((ChangeAccepted(1), ChangeRepeated(0)), (first, second))
        self.assertEqual(1, len(self.fold.history))

    def test_schema_errors_name_the_field(self) -> None:
        template = encode_change(create()).decode()
        faults = {
            "parameters.capacity_share": template.replace("0.5", "1.5", 1),
            "tenant": template.replace('"tenant":"catalogue"', '"tenant":"a/b"'),
            "parameters.models[0]": template.replace("qari-2", "qari 2"),
            "parameters.idle_wieght": template.replace('"idle_weight"', '"idle_wieght"'),
            "base_revision": template.replace('"base_revision":0', '"base_revision":-1'),
        }
        for field, payload in faults.items():
            outcome = self.fold.apply(log_record(self.fold.offset, payload.encode()))
            self.assertEqual((RejectionReason.MALFORMED, field), rejection(outcome), payload)

    def test_contradicting_parameters_name_the_field(self) -> None:
        pinned = TenantParameters(
            models=(ModelName("qari-2"),),
            minimum_version=WeightVersion(5),
            maximum_version=WeightVersion(4),
        )
        outcome = self.apply(create(values=pinned))
        expected = (RejectionReason.MALFORMED, "parameters.maximum_version")
        self.assertEqual(expected, rejection(outcome))

    def test_history_is_bounded_and_includes_rejections(self) -> None:
        self.apply(*(delete(0) for _ in range(MAXIMUM_HISTORY_ENTRIES + 5)))
        self.assertEqual(MAXIMUM_HISTORY_ENTRIES, len(self.fold.history))
        reason = rejection(self.fold.history[-1].outcome)[0]
        self.assertEqual(RejectionReason.UNKNOWN_TENANT, reason)

    def test_record_after_a_gap_raises(self) -> None:
        self.assertRaises(ValueError, self.fold.apply, log_record(1, b""))


class FoldPropertiesTest(testtools.TestCase):
    @given(prefixes)
    def test_same_prefix_same_digest_and_revisions_only_grow(
        self, prefix: list[tuple[str, bytes]]
    ) -> None:
        one, other = ConfigurationStateMachine(), ConfigurationStateMachine()
        largest: dict[TenantName, int] = {}
        for record in records_of(prefix):
            self.assertEqual(one.apply(record), other.apply(record))
            self.assertEqual(one.digest(), other.digest())
            for name, tenant in one.tenants.items():
                self.assertGreaterEqual(tenant.revision, largest.get(name, 0))
                largest[name] = tenant.revision
        for model in ("qari-2", "rollout-lm"):
            users = [t for t in one.tenants.values() if model in t.parameters.models]
            self.assertLessEqual(sum(t.parameters.capacity_share for t in users), 1.0 + 1e-9)

    @given(prefixes, st.integers(0, 40))
    def test_a_restored_snapshot_goes_on_like_the_original(
        self, prefix: list[tuple[str, bytes]], cut: int
    ) -> None:
        original, restored = ConfigurationStateMachine(), ConfigurationStateMachine()
        records = records_of(prefix)
        for record in records[:cut]:
            original.apply(record)
        self.assertEqual(original.offset > 0, restored.restore(original.snapshot()))
        for record in records[cut:]:
            self.assertEqual(original.apply(record), restored.apply(record))
        self.assertEqual(original.digest(), restored.digest())
        self.assertEqual(original.history, restored.history)

    @given(st.binary(max_size=200))
    def test_no_payload_raises(self, payload: bytes) -> None:
        fold = ConfigurationStateMachine()
        self.assertEqual(
            RejectionReason.MALFORMED, rejection(fold.apply(log_record(0, payload)))[0]
        )
        self.assertFalse(fold.restore(payload))
        self.assertEqual(1, fold.offset)

    @given(st.data())
    def test_no_damaged_record_raises(self, data: st.DataObject) -> None:
        payload = bytearray(encode_change(data.draw(changes)))
        for _ in range(data.draw(st.integers(1, 4))):
            payload[data.draw(st.integers(0, len(payload) - 1))] = data.draw(st.integers(0, 255))
        fold = ConfigurationStateMachine()
        fold.apply(log_record(0, bytes(payload)))
        self.assertEqual(1, fold.offset)
        self.assertTrue(ConfigurationStateMachine().restore(fold.snapshot()))

    def test_older_or_damaged_snapshot_is_not_restored(self) -> None:
        fold = ConfigurationStateMachine()
        publish(fold, create())
        old = fold.snapshot()
        publish(fold, change(1))
        self.assertFalse(fold.restore(old))
        self.assertFalse(ConfigurationStateMachine().restore(old.replace(b"0.5", b"0.4")))
        self.assertEqual(2, fold.tenants[CATALOGUE].revision)
