"""Order of starts: by urgency, tenant and due time."""

from __future__ import annotations

import random

import testtools

from stagewalk.gateway.admission.fair_queue import AdmissionRequest, FairQueue, QueueEntry


def waiting(
    tenant: str, number: int = 0, *, urgency: int = 5, due: float = 1.0, retried: bool = False
) -> QueueEntry:
    request = AdmissionRequest(f"{tenant}{number}", "r", tenant, urgency, 0.0, 9.0, due)
    return QueueEntry(request, 1.0, retried)


def filled(*entries: QueueEntry) -> FairQueue:
    queue = FairQueue()
    for entry in entries:
        queue.push(entry, 0.0)
    return queue


def order(queue: FairQueue) -> list[str]:
    return [queue.pop().request.request_id for _ in range(len(queue))]


class OrderTests(testtools.TestCase):
    def test_the_most_urgent_class_goes_first(self) -> None:
        queue = filled(waiting("a", urgency=7), waiting("b", urgency=0), waiting("c", urgency=3))
        self.assertEqual(["b0", "c0", "a0"], order(queue))

    def test_single_requests_start_before_a_backlog_of_another_tenant(self) -> None:
        queue = filled(*(waiting("a", n) for n in range(50)), waiting("b"), waiting("c"))
        self.assertEqual(["a0", "b0", "c0", "a1"], order(queue)[:4])

    def test_a_tenant_with_more_starts_yields_to_one_that_arrives_later(self) -> None:
        queue = filled(*(waiting("a", n) for n in range(4)))
        for n in range(3):
            queue.pop()
            queue.push(waiting("b", n), 0.0)
            self.assertEqual("b", queue.pop().request.tenant)

    def test_starts_without_queueing_count(self) -> None:
        queue = FairQueue()
        queue.record_start(waiting("b"), 0.0)
        queue.push(waiting("b"), 0.1)
        queue.push(waiting("a"), 0.1)
        self.assertEqual(["a0", "b0"], order(queue))

    def test_within_a_tenant_the_earliest_due_time_starts_first(self) -> None:
        queue = filled(waiting("a", 1, due=3.0), waiting("a", 2, due=1.0), waiting("a", 3, due=2.0))
        self.assertEqual(["a2", "a3", "a1"], order(queue))

    def test_a_costly_request_delays_its_tenant_longer(self) -> None:
        costly = [QueueEntry(waiting("a", n).request, 4.0, False) for n in range(2)]
        queue = filled(*costly, *(waiting("b", n) for n in range(5)))
        self.assertEqual(["a0", "b0", "b1", "b2", "b3", "a1", "b4"], order(queue))

    def test_one_start_in_four_is_a_retry(self) -> None:
        queue = filled(
            *(waiting(f"n{n}") for n in range(12)),
            *(waiting(f"r{n}", retried=True) for n in range(12)),
        )
        first = order(queue)[:12]
        self.assertEqual(3, sum(name.startswith("r") for name in first))

    def test_retries_give_a_tenant_no_more_than_its_share(self) -> None:
        queue = filled(
            *(waiting("a", n) for n in range(20)),
            *(waiting("a", n, retried=True) for n in range(20)),
            *(waiting(f"t{n}") for n in range(20)),
        )
        self.assertLessEqual(sum(name.startswith("a") for name in order(queue)[:20]), 2)

    def test_an_overdue_request_starts_out_of_order(self) -> None:
        late = waiting("z", urgency=9)
        queue = filled(*(waiting("a", n) for n in range(20)), late)
        queue.add_overdue(late)
        self.assertIn("z0", order(queue)[:4])


class BookkeepingTests(testtools.TestCase):
    def test_random_operations_start_or_remove_each_request_once(self) -> None:
        rng = random.Random(11)
        queue, inside, started = FairQueue(), [], []
        for n in range(4000):
            action = rng.random()
            if action < 0.5 or not inside:
                entry = waiting(
                    f"t{rng.randrange(9)}",
                    n,
                    urgency=rng.randrange(3),
                    due=rng.random(),
                    retried=rng.random() < 0.3,
                )
                entry.cost = rng.choice((0.2, 1.0, 8.0))
                queue.push(entry, 0.0)
                inside.append(entry)
            elif action < 0.7:
                removed = inside.pop(rng.randrange(len(inside)))
                self.assertTrue(queue.remove(removed))
                self.assertFalse(queue.remove(removed))
            elif action < 0.8:
                queue.add_overdue(rng.choice(inside))
            else:
                started.append(queue.pop())
                inside.remove(started[-1])
            self.assertEqual(len(inside), len(queue))
        self.assertEqual(len(started), len({id(entry) for entry in started}))

    def test_ahead_of_counts_the_requests_that_start_before(self) -> None:
        entries = [waiting(f"t{n % 5}", n, due=float(n % 7)) for n in range(40)]
        last = waiting("t2", 99, due=9.0)
        ahead = filled(*entries).ahead_of(last, 0.0)
        queue = filled(*entries, last)
        self.assertEqual(ahead, queue.ahead_of(last, 0.0))
        self.assertEqual(ahead, order(queue).index("t299"))
