"""Lower bound on trainer idle time for any service, computed after the run.

A step needs at least its work over the pool's whole capacity, and at least the time of its
longest sample alone on an engine. A step that a trainer submits ahead overlaps with its training.

Owns no state; relies on the steps that the world's trainers recorded.
"""

from __future__ import annotations

from stagewalk.simulation.layout import Layout, TrainerLoad
from stagewalk.simulation.trainers import StepNeed, Trainer
from stagewalk.simulation.world import World


def idle_lower_bounds(world: World) -> dict[str, float]:
    """Return the least idle fraction of each tenant's trainers over their completed steps."""
    idle: dict[str, float] = {}
    total: dict[str, float] = {}
    for trainer in world.trainers.values():
        tenant = trainer.load.tenant
        for seconds in _least_idle(world.layout, trainer):
            idle[tenant] = idle.get(tenant, 0.0) + seconds
            total[tenant] = total.get(tenant, 0.0) + seconds + trainer.load.training_seconds
    return {tenant: idle[tenant] / total[tenant] for tenant in sorted(total)}


def _least_idle(layout: Layout, trainer: Trainer) -> list[float]:
    """Return the least idle seconds of each completed step."""
    overlap = trainer.load.training_seconds if trainer.load.steps_ahead else 0.0
    waits = []
    for index, need in enumerate(trainer.needs):
        needed = _least_seconds(layout, trainer.load, need)
        waits.append(max(0.0, needed - (overlap if index else 0.0)))
    return waits


def _least_seconds(layout: Layout, load: TrainerLoad, need: StepNeed) -> float:
    settings = layout.engine_settings
    engines = sum(engine.model == load.model for engine in layout.engines)
    full = settings.batch_limit
    capacity = engines * full / settings.step_seconds(full)
    longest = need.longest_tokens * settings.step_seconds(1)
    return max(need.tokens / capacity, longest)
