"""A live process stays known though announcements of an earlier one look like later ones."""

from __future__ import annotations

import time
from unittest import mock

import anyio
import msgspec
import testtools

from stagewalk.gateway.assembly import NODES_PARTITION
from stagewalk.gateway.directory.node_table import (
    FAILURE_TIMEOUT_SECONDS,
    NodeAnnouncement,
    decode_announcement,
)
from tests.gateway.support import Running, Site, run, until

AHEAD_NANOSECONDS = 1_000 * 1_000_000_000
"""How far the clock was ahead when the earlier process started."""

HEALED_SECONDS = 10.0
"""After this long without trouble all nodes know each other."""


async def start_ahead(site: Site, name: str) -> Running:
    """Start a process whose time of day is ahead."""
    now = time.time_ns
    with mock.patch("stagewalk.gateway.assembly.time.time_ns", lambda: now() + AHEAD_NANOSECONDS):
        return await site.start(name)


async def kill(running: Running) -> None:
    running.scope.cancel()
    await running.ended.wait()


def announced(site: Site, name: str) -> NodeAnnouncement:
    """Return the newest announcement of a node in the log."""
    value = site.log.kept(NODES_PARTITION).newest[name].value
    assert value is not None
    announcement = decode_announcement(value)
    assert announcement is not None
    return announcement


def put(site: Site, announcement: NodeAnnouncement) -> None:
    site.log.put_key(NODES_PARTITION, announcement.node, announcement.encode())


async def until_known(observer: Running, running: Running) -> None:
    """Wait until a node lists another node's process as serving."""

    async def known() -> bool:
        identity = running.gateway._identity
        return any(
            (node.node, node.incarnation) == (identity.node, identity.incarnation)
            for node in observer.gateway._nodes.serving()
        )

    with anyio.fail_after(HEALED_SECONDS):
        await until(known)


async def restart_without_history(site: Site) -> tuple[Running, NodeAnnouncement]:
    """Start n1 anew while the log lacks the announcement of its earlier process.

    Returns
    -------
    tuple
        The new process, and the earlier one's announcement, whose incarnation is greater.
    """
    earlier = await start_ahead(site, "n1")
    await until(lambda: _is(announced(site, "n1").serving))
    late = announced(site, "n1")
    await kill(earlier)
    site.log.drop_key(NODES_PARTITION, "n1")
    return await site.start("n1"), late


class LateAnnouncementTests(testtools.TestCase):
    def test_a_process_stays_known_when_an_earlier_ones_announcement_arrives_late(self) -> None:
        """The other nodes dropped its announcements as outdated for as long as it ran."""

        async def scenario(site: Site) -> None:
            later, late = await restart_without_history(site)
            other = await site.start("n2")
            await until_known(other, later)
            self.assertLess(later.gateway._identity.incarnation, late.incarnation)
            put(site, late)
            await until(lambda: _is(later.gateway._identity.incarnation > late.incarnation))
            await until_known(other, later)
            await site.submit(later, "b1", "x", "y")
            self.assertEqual({"x", "y"}, set(await site.until_listed(other, "b1", 2)))

        run(scenario)

    def test_what_it_runs_goes_on_under_its_raised_incarnation(self) -> None:
        """Others claimed its batches, since their records named what seemed to be gone."""

        async def scenario(site: Site) -> None:
            later, late = await restart_without_history(site)
            other = await site.start("n2")
            await until_known(other, later)
            for name in ("e1", "e2"):
                site.workers.workers[name].event_seconds = 0.5
                site.workers.workers[name].events = 6
            runner, rest = later.gateway._runner, other.gateway._runner
            await site.submit(later, "b1", "x", "y")
            await until(lambda: _is(runner.runs("b1") or rest.runs("b1")))
            if rest.runs("b1"):
                self.skipTest("the trainer's batches belong to the other node")
            holder = later.gateway._identity.announced_as
            put(site, late)
            self.assertEqual({"x", "y"}, set(await site.until_listed(other, "b1", 2)))
            self.assertEqual({"x": 1, "y": 1}, dict(site.workers.arrivals))
            batch = other.gateway.store.ledger.get("b1")
            self.assertEqual((1, str(later.gateway._identity)), (batch.epoch, batch.runner))
            self.assertEqual(holder, later.gateway._identity.announced_as)

        run(scenario)

    def test_others_claim_nothing_before_it_has_read_the_late_announcement_itself(self) -> None:
        """They took the late announcement for a start without a replica, which runs no batches."""

        async def scenario(site: Site) -> None:
            later, late = await restart_without_history(site)
            other = await site.start("n2")
            await until_known(other, later)
            for name in ("e1", "e2"):
                site.workers.workers[name].event_seconds = 0.5
                site.workers.workers[name].events = 6
            await site.submit(later, "b1", "x", "y")
            await until(lambda: _is(len(site.workers.arrivals) == 2))
            if other.gateway._runner.runs("b1"):
                self.skipTest("the trainer's batches belong to the other node")
            follower = later.gateway._nodes._follower
            with mock.patch.object(follower, "_apply", lambda _record: None):
                put(site, msgspec.structs.replace(late, ledger_replica=False))
                await anyio.sleep(1.0)
            self.assertEqual({"x", "y"}, set(await site.until_listed(other, "b1", 2)))
            self.assertEqual({"x": 1, "y": 1}, dict(site.workers.arrivals))
            batch = other.gateway.store.ledger.get("b1")
            self.assertEqual((0, str(later.gateway._identity)), (batch.epoch, batch.runner))

        run(scenario)

    def test_a_process_is_known_again_though_it_never_reads_the_later_announcement(self) -> None:
        """The log forgot the announcements, but the other node remembers the dead process's."""

        async def scenario(site: Site) -> None:
            other = await site.start("n2")
            earlier = await start_ahead(site, "n1")
            await until_known(other, earlier)
            await kill(earlier)
            site.log.drop_key(NODES_PARTITION, "n1")
            later = await site.start("n1")
            self.assertEqual("", later.gateway._identity.replaces)
            await until_known(other, later)

        run(scenario)

    def test_a_listing_that_is_read_again_shows_the_later_announcement(self) -> None:
        """The changes were dropped before they were read, so only a listing shows it."""

        async def scenario(site: Site) -> None:
            later, late = await restart_without_history(site)
            later.log.faults.down = True
            await anyio.sleep(0.1)
            put(site, late)
            kept = site.log.kept(NODES_PARTITION)
            site.log.drop_history(NODES_PARTITION, kept.end)
            later.log.faults.down = False
            await until(lambda: _is(later.gateway._identity.incarnation > late.incarnation))
            await until(lambda: _is(announced(site, "n1").incarnation > late.incarnation))

        run(scenario)


class TwoProcessesTests(testtools.TestCase):
    def test_of_two_live_processes_of_one_name_the_second_goes_on(self) -> None:
        """They raised their incarnations against each other for ever otherwise."""

        async def scenario(site: Site) -> None:
            with mock.patch("stagewalk.gateway.daemon.DRAIN_DELAY_SECONDS", 0.1):
                first = await site.start("n1")
                await until(lambda: _is(announced(site, "n1").serving))
                second = await site.start("n1")
                with anyio.fail_after(HEALED_SECONDS):
                    await first.ended.wait()
            await anyio.sleep(FAILURE_TIMEOUT_SECONDS)
            self.assertFalse(second.ended.is_set())
            incarnation = second.gateway._identity.incarnation
            self.assertEqual(incarnation, announced(site, "n1").incarnation)
            self.assertEqual(second.address, announced(site, "n1").front)

        run(scenario)

    def test_one_goes_on_if_neither_had_read_of_the_other_at_its_start(self) -> None:
        async def scenario(site: Site) -> None:
            with mock.patch("stagewalk.gateway.daemon.DRAIN_DELAY_SECONDS", 0.1):
                first = await site.start("n1")
                await until(lambda: _is(announced(site, "n1").serving))
                site.log.drop_key(NODES_PARTITION, "n1")
                # The second one may be the one that stops, before it is ready.
                second = await site.start("n1", ready=False)
                with anyio.fail_after(HEALED_SECONDS):
                    while not (first.ended.is_set() or second.ended.is_set()):
                        await anyio.sleep(0.02)
            await anyio.sleep(FAILURE_TIMEOUT_SECONDS)
            self.assertNotEqual(first.ended.is_set(), second.ended.is_set())

        run(scenario)


async def _is(condition: bool) -> bool:
    return condition
