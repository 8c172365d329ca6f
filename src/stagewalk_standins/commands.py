"""Entry points of the stand-ins, one per subcommand.

Each imports its dependencies locally, so that a process loads only what it uses.
"""

from __future__ import annotations

import argparse
import random
import time
from pathlib import Path

import anyio

from stagewalk_standins.history_file import HistoryFile
from stagewalk_standins.web import Application

CONNECTION_CLOSE_SECONDS = 0.2
"""Time for the server to close open connections after it was told to stop."""


async def run_log(options: argparse.Namespace) -> None:
    """Run the append-only log."""
    from stagewalk_standins.log_server import LogServer

    await _serve_service(LogServer(_history(options)).application(), options)


async def run_weights(options: argparse.Namespace) -> None:
    """Run the weight store."""
    from stagewalk_standins.weight_server import WeightServer

    server = WeightServer(options.bytes_per_second, options.fetch_limit)
    for item in filter(None, options.models.split(",")):
        model, _, version = item.partition(":")
        server.publish(model, int(version), options.size_bytes)
    await _serve_service(server.application(), options)


async def run_machines(options: argparse.Namespace) -> None:
    """Run the machine list."""
    from stagewalk_standins.machine_server import MachineServer

    await _serve_service(MachineServer(options.lag_seconds).application(), options)


async def run_scorer(options: argparse.Namespace) -> None:
    """Run the scorer."""
    from stagewalk_standins.scorer_server import ScorerServer

    generator = random.Random(options.seed)
    server = ScorerServer(options.seconds, options.failure_fraction, generator)
    await _serve_service(server.application(), options)


async def run_forwarder(options: argparse.Namespace) -> None:
    """Run the fault-injecting network proxy."""
    from stagewalk_standins.forwarder import LinkForwarder, read_links
    from stagewalk_standins.serving import serve_until_signal

    forwarder = LinkForwarder(read_links(Path(options.links)), options.seed)
    async with anyio.create_task_group() as group:
        group.start_soon(forwarder.run)
        await serve_until_signal(forwarder.application(), options.listen)
        group.cancel_scope.cancel()


async def run_engine(options: argparse.Namespace) -> None:
    """Run an engine until a stop signal, then drain it."""
    from stagewalk.common.identities import EngineName, Incarnation, ModelName, WeightVersion
    from stagewalk.node.core.platform import MachineState
    from stagewalk.simulation.engine_model import SimulatedEngine
    from stagewalk.simulation.platform_settings import EngineSettings
    from stagewalk_standins.engine_history import EngineHistory
    from stagewalk_standins.engine_server import EngineServer
    from stagewalk_standins.history_file import clock
    from stagewalk_standins.machine_registration import EngineMachine
    from stagewalk_standins.serving import serve_until, set_on_stop_signal
    from stagewalk_standins.weight_fetcher import WeightFetcher

    name = EngineName(options.name or options.listen)
    incarnation = Incarnation(options.incarnation or time.time_ns() // 1_000_000)
    usual = EngineSettings()
    settings = EngineSettings(
        step_base_seconds=usual.step_base_seconds * options.slowdown,
        step_seconds_per_sequence=usual.step_seconds_per_sequence * options.slowdown,
        batch_limit=options.batch_limit,
        queue_limit=options.queue_limit,
        kv_capacity_tokens=options.kv_capacity_tokens,
        chunk_seconds=options.chunk_seconds,
        activation_seconds=options.activation_seconds,
        activation_failure_fraction=options.activation_failure_fraction,
    )
    model = SimulatedEngine(
        settings,
        engine=name,
        incarnation=incarnation,
        model=ModelName(options.model),
        active_version=WeightVersion(options.version),
        generator=random.Random(options.seed),
        started_at=clock(),
    )
    history = EngineHistory(_history(options), name, incarnation)
    fetcher = WeightFetcher(options.weights)
    server = EngineServer(model, history, fetcher, options.leave_seconds)
    machine = EngineMachine(
        machines_url=options.machines,
        name=name,
        listen=options.advertise or options.listen,
        region=options.region,
        zone=options.zone,
        service=options.service,
    )
    stop_asked, stop_serving = anyio.Event(), anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(set_on_stop_signal, stop_asked)
        group.start_soon(server.run)
        group.start_soon(serve_until, server.application(), options.listen, stop_serving)
        group.start_soon(machine.register, MachineState.LIVE)
        await stop_asked.wait()
        group.start_soon(machine.register, MachineState.LEAVING)
        await server.leave()
        stop_serving.set()
        await anyio.sleep(CONNECTION_CLOSE_SECONDS)
        group.cancel_scope.cancel()


async def run_trainer(options: argparse.Namespace) -> None:
    """Run a trainer until its last step or a stop signal."""
    from stagewalk_standins import trainer
    from stagewalk_standins.node_pool import NodePool, parse_nodes
    from stagewalk_standins.serving import set_on_stop_signal
    from stagewalk_standins.trainer_checkpoint import CheckpointFile

    trainer_options = trainer.TrainerOptions(
        tenant=options.tenant,
        trainer=options.name,
        model=options.model,
        steps=options.steps,
        prompts=options.prompts,
        samples_per_prompt=options.samples_per_prompt,
        max_tokens=options.max_tokens,
        train_seconds=options.train_seconds,
        look_ahead=options.look_ahead,
        deadline_seconds=options.deadline_seconds,
        weights_url=options.weights,
        size_bytes=options.size_bytes,
    )
    path = Path(options.checkpoint) if options.checkpoint else None
    checkpoint = CheckpointFile(path, _history(options))
    nodes = NodePool(parse_nodes(options.nodes))
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(set_on_stop_signal, stop)

        async def run_to_end() -> None:
            await trainer.run_trainer(trainer_options, nodes, checkpoint)
            stop.set()

        group.start_soon(run_to_end)
        await stop.wait()
        group.cancel_scope.cancel()


async def run_caller(options: argparse.Namespace) -> None:
    """Run a caller for its duration, until no request is in flight."""
    from stagewalk_standins import caller
    from stagewalk_standins.node_pool import NodePool, parse_nodes
    from stagewalk_standins.serving import set_on_stop_signal

    caller_options = caller.CallerOptions(
        caller=options.name,
        tenant=options.tenant,
        model=options.model,
        rate=options.rate,
        duration_seconds=options.duration_seconds,
        deadline_seconds=options.deadline_seconds,
        max_tokens=options.max_tokens,
        streaming_fraction=options.streaming_fraction,
        non_repeatable_fraction=options.non_repeatable_fraction,
        impatient_fraction=options.impatient_fraction,
        sends=options.sends,
        prefixes=options.prefixes,
        request_class=options.request_class,
        seed=options.seed,
        resent=options.resent,
    )
    nodes = NodePool(parse_nodes(options.nodes))
    generator = random.Random(f"{options.name} {options.seed}")
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(set_on_stop_signal, stop)
        await caller.run_caller(caller_options, nodes, _history(options), generator, stop)
        group.cancel_scope.cancel()


async def _serve_service(application: Application, options: argparse.Namespace) -> None:
    """Serve a platform service with its fault injection routes."""
    from stagewalk_standins.faults import FaultSwitch
    from stagewalk_standins.serving import serve_until_signal

    FaultSwitch().add_routes(application)
    await serve_until_signal(application, options.listen)


def _history(options: argparse.Namespace) -> HistoryFile:
    return HistoryFile(Path(options.history) if options.history else None)


COMMANDS = {
    "engine": run_engine,
    "log": run_log,
    "weights": run_weights,
    "machines": run_machines,
    "scorer": run_scorer,
    "forwarder": run_forwarder,
    "trainer": run_trainer,
    "caller": run_caller,
}
