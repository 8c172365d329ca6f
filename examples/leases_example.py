"""Three nodes share a duty through a log that is a list in memory.

The holder is paused; another takes over under a larger epoch; the first wakes and stops acting.
Run with `python examples/leases_example.py`.
"""

from __future__ import annotations

import random

from stagewalk.common.identities import Incarnation, NodeName, RecordId
from stagewalk.node.core.platform import LogRecord
from stagewalk.node.leases.config import LeaseConfig
from stagewalk.node.leases.core import LeaseCandidate, LeaseCore, LiveMember
from stagewalk.node.leases.notifications import LeaseOutput
from stagewalk.node.log_client.notifications import AppendToStream

NAMES = ("north", "east", "south")
DUTY = "rollout/reader"


class Pool:
    """The nodes, the log, and a clock that is moved by hand."""

    def __init__(self) -> None:
        self.now = 0.0
        self.log: list[bytes] = []
        self.folded = dict.fromkeys(NAMES, 0)
        self.paused: set[str] = set()
        self.cores: dict[str, LeaseCore] = {}
        for name in NAMES:
            identity = LeaseCandidate(NodeName(name), Incarnation(1))
            self.cores[name] = LeaseCore(identity, LeaseConfig(), random.Random(name))
            self.cores[name].set_duties([DUTY])

    def run(self, seconds: float) -> None:
        """Let time pass in ticks of a tenth of a second; paused nodes do nothing."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            live = [name for name in NAMES if name not in self.paused]
            for name in live:
                core = self.cores[name]
                core.set_members({NodeName(other): LiveMember(Incarnation(1)) for other in live})
                self.execute(name, core.tick(self.now))
                self.read_log(name)

    def read_log(self, name: str) -> None:
        """Fold what a node has not read yet."""
        core = self.cores[name]
        for offset in range(self.folded[name], len(self.log)):
            record = LogRecord(offset, RecordId(f"record-{offset}"), self.log[offset])
            self.execute(name, core.fold(record))
        self.folded[name] = len(self.log)
        self.execute(name, core.record_caught_up(self.now))

    def execute(self, name: str, outputs: list[LeaseOutput]) -> None:
        """Append records, and print what a node was told."""
        for output in outputs:
            if isinstance(output, AppendToStream):
                self.log.append(output.payload)
            else:
                print(f"{self.now:4.1f} s  {name}: {output}")


def main() -> None:
    """Pause the holder of a duty and wake it after another has taken over."""
    pool = Pool()
    pool.run(1.0)
    holder = next(name for name in NAMES if pool.cores[name].held())
    pool.paused.add(holder)
    print(f"{pool.now:4.1f} s  {holder} is paused")
    pool.run(6.0)
    pool.paused.clear()
    print(f"{pool.now:4.1f} s  {holder} wakes")
    pool.run(1.0)
    for name in NAMES:
        print(
            f"{name}: holds {pool.cores[name].held()}, knows epoch {pool.cores[name].epoch(DUTY)}"
        )


if __name__ == "__main__":
    main()
