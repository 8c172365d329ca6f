"""Searches interleavings of claim messages for a key with two decided values.

The world is the real `ClaimCore` of three replicas and of two proposers that want different
values for one key. A step delivers a message in flight (in any order; a message that is never
delivered counts as lost), delivers it and keeps a copy, restarts a replica without its state,
fires a node's timers, changes the replica group, or lets a node read the log. After every step
all decisions must agree, and at most one proposer may have won.

`explore` visits every state up to a depth, `walk` takes random paths that go deeper.

    python -m stagewalk.simulation.claims_explorer --depth=9 --walks=2000

Owns the world's state and the search; relies on `node.claims` as it runs in a node, without clock
or network.
"""

from __future__ import annotations

import pickle
import random
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import xxhash
from absl import app, flags

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement
from stagewalk.node.claims.config import ClaimConfig
from stagewalk.node.claims.core import ClaimCore
from stagewalk.node.claims.notifications import ClaimDecided, ClaimOutput
from stagewalk.node.claims.placement import GroupHistory, GroupMember, GroupPlacement, ReplicaGroup
from stagewalk.node.claims.types import Peer
from stagewalk.node.core.instructions import SendPeerMessage
from stagewalk.node.node_identity import NodeIdentity
from stagewalk.node.wire.envelope_pb2 import Envelope

KEY = "key"
REPLICAS = ("a", "b", "c")
SPARE = "d"
"""Joins the second group, where a change of the group is explored."""
PROPOSERS = ("p", "q")
ALL_NODES = (*REPLICAS, SPARE, *PROPOSERS)
TIMER_STEP_SECONDS = 2.0


class ExplorerConfig(ClaimConfig):
    """Timeouts too long to expire during a search; pickled by name."""

    def __reduce__(self) -> str:
        return "CONFIG"


CONFIG = ExplorerConfig(
    proposal_timeout_seconds=1000.0, retention_seconds=100_000.0, abandon_seconds=100.0
)


class SteadyRandom(random.Random):
    """A generator that always returns the same value, so that equal states are not told apart."""

    def random(self) -> float:
        """Return the middle of the range."""
        return 0.5

    def __reduce__(self) -> str:
        return "STEADY"


STEADY = SteadyRandom()


@dataclass(frozen=True, slots=True)
class Limits:
    """How often each kind of fault may happen on one path."""

    restarts: int = 1
    timers: int = 1
    duplicates: int = 0
    group_changes: int = 0


@dataclass(frozen=True, slots=True, order=True)
class InFlight:
    """A message in flight."""

    to: str
    envelope: bytes


@dataclass(frozen=True, slots=True, order=True)
class Step:
    """One step: `kind` is `deliver`, `duplicate`, `restart`, `timer`, `read` or `group`."""

    kind: str
    index: int = 0
    node: str = ""


class DecidedTwice(AssertionError):
    """Two values were decided for one key; `args` hold the path that led there."""


@dataclass(slots=True)
class World:
    """One state of all nodes and of the network.

    Each node's core is held as a pickle: a step unpickles one, and equal states are equal bytes.
    """

    nodes: dict[str, bytes] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    messages: list[InFlight] = field(default_factory=list)
    groups: tuple[ReplicaGroup, ...] = ()
    """The groups in the log."""
    knows: dict[str, int] = field(default_factory=dict)
    """How many of them each node has read."""
    now: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)
    """Number of faults of each kind so far."""
    decided: frozenset[bytes] = frozenset()
    winners: frozenset[str] = frozenset()

    @classmethod
    def initial(cls) -> World:
        """Return the world in which both proposers have just asked for promises."""
        world = cls()
        for name in ALL_NODES:
            world.incarnations[name] = 1
        world.append_group(REPLICAS)
        for name in world.incarnations:
            world.start(name)
        for name in PROPOSERS:
            core = pickle.loads(world.nodes[name])
            world.put(name, core, core.propose(KEY, name.encode(), world.now))
        return world

    def copy(self) -> World:
        """Return an independent copy."""
        return World(
            dict(self.nodes),
            dict(self.incarnations),
            list(self.messages),
            self.groups,
            dict(self.knows),
            self.now,
            Counter(self.counts),
            self.decided,
            self.winners,
        )

    def fingerprint(self) -> int:
        """Return a hash of the state."""
        digest = xxhash.xxh64(repr((self.now, self.counts, self.knows, self.decided)).encode())
        for name in sorted(self.nodes):
            digest.update(self.nodes[name])
        for message in self.messages:
            digest.update(message.to.encode())
            digest.update(message.envelope)
        return digest.intdigest()

    def append_group(self, names: tuple[str, ...]) -> None:
        """Append the next group to the log."""
        members = tuple(
            GroupMember(NodeName(name), Incarnation(self.incarnations[name])) for name in names
        )
        self.groups = (*self.groups, ReplicaGroup(len(self.groups) + 1, members))

    def start(self, name: str) -> None:
        """Start a node without state; it reads the whole log."""
        identity = NodeIdentity(
            NodeName(name),
            Incarnation(self.incarnations[name]),
            Address(name, 1),
            Placement("region", name),
        )
        core = ClaimCore(identity, CONFIG, STEADY)
        core.set_members(
            {NodeName(other): Peer(Address(other, 1), Incarnation(1)) for other in ALL_NODES}
        )
        self.put(name, core, [])
        self.read_log(name)

    def read_log(self, name: str) -> None:
        """Deliver the log to a node up to its end."""
        self.knows[name] = len(self.groups)
        core = pickle.loads(self.nodes[name])
        core.set_placement(GroupPlacement((GroupHistory(self.groups),)))
        self.put(name, core, core.tick(self.now))

    def steps(self, limits: Limits) -> Iterator[Step]:
        """Return the steps possible here."""
        for index, message in enumerate(self.messages):
            if index and message == self.messages[index - 1]:
                continue
            yield Step("deliver", index)
            if self.counts["duplicate"] < limits.duplicates:
                yield Step("duplicate", index)
        for name in sorted(self.nodes):
            if self.knows[name] < len(self.groups):
                yield Step("read", node=name)
        yield from self._fault_steps(limits)

    def _fault_steps(self, limits: Limits) -> Iterator[Step]:
        if self.counts["restart"] < limits.restarts:
            for name in REPLICAS:
                yield Step("restart", node=name)
        if self.counts["timer"] < limits.timers:
            for name in PROPOSERS:
                yield Step("timer", node=name)
        if self.counts["group"] < limits.group_changes:
            yield Step("group")

    def take_step(self, step: Step) -> None:
        """Apply a step to this state."""
        self.counts[step.kind] += step.kind not in ("deliver", "read")
        if step.kind in ("deliver", "duplicate"):
            self._deliver(step)
        elif step.kind == "restart":
            self.incarnations[step.node] += 1
            self.start(step.node)
        elif step.kind == "timer":
            self.now += TIMER_STEP_SECONDS
            core = pickle.loads(self.nodes[step.node])
            self.put(step.node, core, core.tick(self.now))
        elif step.kind == "read":
            self.read_log(step.node)
        else:
            self.append_group(("a", "b", SPARE))

    def _deliver(self, step: Step) -> None:
        message = self.messages[step.index]
        if step.kind == "deliver":
            del self.messages[step.index]
        envelope = Envelope.FromString(message.envelope)
        core = pickle.loads(self.nodes[message.to])
        outputs = core.handle_message(
            Address(envelope.sender, 1),
            NodeName(envelope.sender),
            Incarnation(envelope.sender_incarnation),
            envelope.claims,
            self.now,
        )
        self.put(message.to, core, outputs)

    def put(self, name: str, core: ClaimCore, outputs: list[ClaimOutput]) -> None:
        """Store a node's new state, record its decisions, and queue its messages."""
        self.nodes[name] = pickle.dumps(core, protocol=pickle.HIGHEST_PROTOCOL)
        for output in outputs:
            if isinstance(output, SendPeerMessage):
                envelope = output.envelope.SerializeToString(deterministic=True)
                self.messages.append(InFlight(output.address.host, envelope))
            elif isinstance(output, ClaimDecided):
                self.decided |= {output.value}
                if output.won:
                    self.winners |= {name}
        self.messages.sort()

    @property
    def is_sound(self) -> bool:
        """Whether at most one value was decided and at most one proposer won."""
        return len(self.decided) <= 1 and len(self.winners) <= 1


@dataclass(slots=True)
class Coverage:
    """Statistics of a search.

    `exhausted` is True if every state within the depth was visited.
    """

    states: int = 0
    steps: int = 0
    deepest: int = 0
    decided_states: int = 0
    exhausted: bool = True

    def observe(self, world: World, depth: int) -> None:
        """Count a new state."""
        self.states += 1
        self.deepest = max(self.deepest, depth)
        self.decided_states += bool(world.decided)


def explore(depth: int, limits: Limits, maximum_states: int, skip: int = 0) -> Coverage:
    """Visit every state reachable within `depth` steps, breadth first.

    The search starts after `skip` deliveries in order, closer to the decision.

    Raises
    ------
    DecidedTwice
        With the path of steps that led to it.
    """
    first = World.initial()
    for _ in range(skip):
        first.take_step(Step("deliver", 0))
    seen = {first.fingerprint()}
    queue = deque([(first, 0)])
    coverage = Coverage()
    while queue:
        state, level = queue.popleft()
        if level == depth:
            continue
        for step in state.steps(limits):
            world = state.copy()
            world.take_step(step)
            coverage.steps += 1
            if not world.is_sound:
                raise DecidedTwice(step, level + 1, sorted(world.decided))
            mark = world.fingerprint()
            if mark in seen:
                continue
            seen.add(mark)
            coverage.observe(world, level + 1)
            if coverage.states >= maximum_states:
                coverage.exhausted = False
                return coverage
            queue.append((world, level + 1))
    return coverage


def walk(walks: int, length: int, limits: Limits, seed: int) -> Coverage:
    """Walk random paths from the start, each of at most `length` steps.

    Raises
    ------
    DecidedTwice
        With the path of steps that led to it.
    """
    generator = random.Random(seed)
    coverage = Coverage(exhausted=False)
    first = World.initial()
    for _ in range(walks):
        world = first.copy()
        path: list[Step] = []
        while len(path) < length:
            step = _random_step(world, limits, generator)
            if step is None:
                break
            path.append(step)
            world.take_step(step)
            coverage.steps += 1
            coverage.observe(world, len(path))
            if not world.is_sound:
                raise DecidedTwice(path, sorted(world.decided))
    return coverage


def _random_step(world: World, limits: Limits, generator: random.Random) -> Step | None:
    steps = list(world.steps(limits))
    faults = [step for step in steps if step.kind != "deliver"]
    deliveries = [step for step in steps if step.kind == "deliver"]
    if faults and (not deliveries or generator.random() < 0.12):
        return generator.choice(faults)
    return generator.choice(deliveries) if deliveries else None


_DEPTH = flags.DEFINE_integer("depth", 7, "Steps of the exhaustive exploration.", lower_bound=0)
_SKIP = flags.DEFINE_integer("skip", 0, "Deliveries made in order before it.", lower_bound=0)
_STATES = flags.DEFINE_integer("maximum_states", 100_000, "It ends after this many states.")
_WALKS = flags.DEFINE_integer("walks", 2000, "Random paths.", lower_bound=0)
_LENGTH = flags.DEFINE_integer("length", 120, "Steps of a random path.", lower_bound=1)
_RESTARTS = flags.DEFINE_integer("restarts", 1, "Restarts of replicas on one path.")
_TIMERS = flags.DEFINE_integer("timers", 2, "Timers run out on one path.")
_DUPLICATES = flags.DEFINE_integer("duplicates", 1, "Messages doubled on one path.")
_CHANGES = flags.DEFINE_integer("group_changes", 0, "Changes of the group on one path.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the random paths.")


def main(_: list[str]) -> None:
    """Explore and print what was covered; a violation ends it with `DecidedTwice`."""
    limits = Limits(_RESTARTS.value, _TIMERS.value, _DUPLICATES.value, _CHANGES.value)
    found = explore(_DEPTH.value, limits, _STATES.value, _SKIP.value)
    print(
        f"exhaustive: depth={found.deepest} states={found.states} steps={found.steps} "
        f"decided_states={found.decided_states} exhausted={found.exhausted}"
    )
    walked = walk(_WALKS.value, _LENGTH.value, limits, _SEED.value)
    print(
        f"random: walks={_WALKS.value} states={walked.states} deepest={walked.deepest} "
        f"decided_states={walked.decided_states}"
    )


if __name__ == "__main__":
    app.run(main)
