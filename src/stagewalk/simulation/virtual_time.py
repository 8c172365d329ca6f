"""The virtual clock: `simpy` underneath, callbacks and processes on top.

Owns the virtual time and the order of actions at one moment; nothing in a simulated world reads
another clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Generator
from typing import Any

import simpy

Action = Callable[[], None]
Steps = Generator[simpy.Event, Any, None]
"""A process of the world: a generator that yields what it waits for."""


class Scheduler:
    """Runs actions at virtual times, those of the same time in the order they were scheduled."""

    def __init__(self) -> None:
        self._environment = simpy.Environment()
        self.executed = 0

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return float(self._environment.now)

    def after(self, delay_seconds: float, action: Action) -> None:
        """Run an action once, later."""
        timeout = simpy.Timeout(self._environment, max(0.0, delay_seconds))
        timeout.callbacks.append(lambda _: self._execute(action))

    def at(self, time: float, action: Action) -> None:
        """Run an action at a time, at once if it has passed."""
        self.after(time - self.now, action)

    def every(self, interval_seconds: float, first_seconds: float, action: Action) -> None:
        """Run an action for ever at an interval."""

        def repeat() -> None:
            action()
            self.after(interval_seconds, repeat)

        self.after(first_seconds, repeat)

    def start(self, steps: Steps) -> None:
        """Start a process."""
        self._environment.process(steps)

    def sleep(self, seconds: float) -> simpy.Event:
        """Return what a process yields to wait for a time."""
        return simpy.Timeout(self._environment, max(0.0, seconds))

    def signal(self) -> simpy.Event:
        """Return an event that a process can wait for and any code can trigger."""
        return simpy.Event(self._environment)

    def run_until(self, time: float) -> None:
        """Run all actions due until a time."""
        self._environment.run(until=time)

    def _execute(self, action: Action) -> None:
        self.executed += 1
        action()


def derived_generator(seed: int, *purpose: str | int) -> random.Random:
    """Return an independent generator for a purpose; its draws don't affect other generators."""
    return random.Random("/".join(str(part) for part in (seed, *purpose)))
