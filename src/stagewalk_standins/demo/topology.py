"""Maps a deployment to processes, each with its own loopback address and flags."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from itertools import count
from pathlib import Path

from stagewalk_standins.demo.deployment import (
    CallerService,
    Deployment,
    EngineService,
    Region,
    TrainerService,
)
from stagewalk_standins.demo.processes import ProcessSpecification

HTTP_PORT = 8080
PEER_PORT = 7946
FIRST_HOST = 10
HOSTS_PER_NETWORK = 200
NETWORK = "127.77"

MACHINE_LIST_LAG_SECONDS = 2.0
WEIGHT_BYTES = 2_000_000
WEIGHT_BYTES_PER_SECOND = 20_000_000.0
INITIAL_VERSION = 1
PROMPTS_PER_STEP = 12
SAMPLES_PER_PROMPT = 4
SAMPLE_MAX_TOKENS = 512
TRAINING_SECONDS = 4.0
STEPS = 1000
CALLER_MAX_TOKENS = 128


@dataclass(frozen=True, slots=True)
class Host:
    """A simulated machine: one loopback address with one process."""

    name: str
    address: str
    region: str
    zone: str

    @property
    def url(self) -> str:
        """Return the base URL of the process's HTTP server."""
        return f"http://{self.address}:{HTTP_PORT}"


@dataclass(frozen=True, slots=True)
class NodeProcess:
    """A node, and the caller or trainer beside it.

    Attributes
    ----------
    peer_address
        `IP:PORT` at which other nodes reach it.
    """

    host: Host
    specification: ProcessSpecification
    peer_address: str


@dataclass(frozen=True, slots=True)
class Topology:
    """All processes of a demonstration, in the order in which they are started."""

    services: dict[str, Host]
    service_processes: tuple[ProcessSpecification, ...]
    engines: tuple[ProcessSpecification, ...]
    nodes: tuple[NodeProcess, ...]
    clients: tuple[ProcessSpecification, ...]


class TopologyBuilder:
    """Builds the topology of a deployment on loopback addresses.

    Parameters
    ----------
    directory
        Directory for settings files, histories and checkpoints.
    load_seconds
        How long callers send requests.
    """

    def __init__(self, deployment: Deployment, directory: Path, load_seconds: float) -> None:
        self._deployment = deployment
        self._directory = directory
        self._load_seconds = load_seconds
        self._regions = {region.name: region for region in deployment.regions}
        self._host_numbers = count()
        first = deployment.regions[0]
        self._services = {
            name: self._host(name, first, index)
            for index, name in enumerate(("log", "weights", "machines", "scorer"))
        }

    def build(self) -> Topology:
        """Write the nodes' settings files and return the topology."""
        engines = [
            self._engine(service, index)
            for service in self._deployment.engine_services
            for index in range(service.count)
        ]
        nodes: list[NodeProcess] = []
        clients: list[ProcessSpecification] = []
        for caller in self._deployment.caller_services:
            group = [self._node(caller, index) for index in range(caller.count)]
            nodes += group
            clients += [self._caller(caller, group, index) for index in range(caller.count)]
        for trainer in self._deployment.trainer_services:
            group = [self._node(trainer, index) for index in range(trainer.count)]
            nodes += group
            spares = [node for node in nodes if node.host.region == trainer.region]
            clients += [self._trainer(trainer, group, spares, i) for i in range(trainer.count)]
        return Topology(
            services=self._services,
            service_processes=self._service_processes(),
            engines=tuple(engines),
            nodes=tuple(nodes),
            clients=tuple(clients),
        )

    def _host(self, name: str, region: Region, index: int) -> Host:
        network, number = divmod(next(self._host_numbers), HOSTS_PER_NETWORK)
        address = f"{NETWORK}.{network}.{FIRST_HOST + number}"
        return Host(name, address, region.name, region.zones[index % len(region.zones)])

    def _history(self, name: str) -> str:
        return f"--history={self._directory / f'{name}.history'}"

    def _service_processes(self) -> tuple[ProcessSpecification, ...]:
        models = sorted({service.model for service in self._deployment.engine_services})
        flags = {
            "log": (self._history("log"),),
            "weights": (
                f"--models={','.join(f'{model}:{INITIAL_VERSION}' for model in models)}",
                f"--size_bytes={WEIGHT_BYTES}",
                f"--bytes_per_second={WEIGHT_BYTES_PER_SECOND}",
            ),
            "machines": (f"--lag_seconds={MACHINE_LIST_LAG_SECONDS}",),
            "scorer": (),
        }
        return tuple(
            standin(name, name, f"--listen={host.address}:{HTTP_PORT}", *flags[name])
            for name, host in self._services.items()
        )

    def _engine(self, service: EngineService, index: int) -> ProcessSpecification:
        name = f"{service.name}-{index + 1}"
        host = self._host(name, self._regions[service.region], index)
        return standin(
            name,
            "engine",
            f"--listen={host.address}:{HTTP_PORT}",
            f"--name={name}",
            f"--model={service.model}",
            f"--version={INITIAL_VERSION}",
            f"--weights={self._services['weights'].url}",
            f"--machines={self._services['machines'].url}",
            f"--region={host.region}",
            f"--zone={host.zone}",
            f"--service={service.name}",
            f"--seed={index}",
            "--activation_failure_fraction=0.1",
            self._history(name),
        )

    def _node(self, service: CallerService | TrainerService, index: int) -> NodeProcess:
        name = f"{service.name}-node-{index + 1}"
        host = self._host(name, self._regions[service.region], index)
        path = self._directory / f"{name}.toml"
        path.write_text(self._node_settings(host))
        command = (sys.executable, "-m", "stagewalk", "node", f"--settings={path}")
        peer_address = f"{host.address}:{PEER_PORT}"
        return NodeProcess(host, ProcessSpecification(name, command), peer_address)

    def _node_settings(self, host: Host) -> str:
        platform = "\n".join(f'{name} = "{peer.url}"' for name, peer in self._services.items())
        return (
            f'name = "{host.name}"\n'
            f'region = "{host.region}"\n'
            f'zone = "{host.zone}"\n'
            f'listen = "{host.address}:{HTTP_PORT}"\n'
            f'peer_listen = "{host.address}:{PEER_PORT}"\n\n'
            f"[platform]\n{platform}\n"
        )

    def _caller(
        self, service: CallerService, nodes: list[NodeProcess], index: int
    ) -> ProcessSpecification:
        name = f"{service.name}-{index + 1}"
        return standin(
            name,
            "caller",
            f"--name={name}",
            f"--nodes={nodes_flag(nodes, index)}",
            f"--tenant={service.tenant}",
            f"--model={service.model}",
            f"--rate={service.requests_per_second / service.count}",
            f"--duration_seconds={self._load_seconds}",
            f"--deadline_seconds={service.deadline_seconds}",
            f"--non_repeatable_fraction={service.non_repeatable_fraction}",
            f"--max_tokens={CALLER_MAX_TOKENS}",
            f"--seed={index}",
            self._history(name),
        )

    def _trainer(
        self,
        service: TrainerService,
        nodes: list[NodeProcess],
        spares: list[NodeProcess],
        index: int,
    ) -> ProcessSpecification:
        name = f"{service.name}-{index + 1}"
        own = nodes[index]
        order = [own, *(node for node in spares if node is not own)]
        return standin(
            name,
            "trainer",
            f"--name={name}",
            f"--nodes={nodes_flag(order, 0)}",
            f"--tenant={service.tenant}",
            f"--model={service.model}",
            f"--weights={self._services['weights'].url}",
            f"--checkpoint={self._directory / f'{name}.checkpoint'}",
            f"--steps={STEPS}",
            f"--prompts={PROMPTS_PER_STEP}",
            f"--samples_per_prompt={SAMPLES_PER_PROMPT}",
            f"--max_tokens={SAMPLE_MAX_TOKENS}",
            f"--train_seconds={TRAINING_SECONDS}",
            f"--size_bytes={WEIGHT_BYTES}",
            "--look_ahead",
            self._history(name),
        )


def standin(name: str, kind: str, *flags: str) -> ProcessSpecification:
    """Return the process specification of a stand-in."""
    return ProcessSpecification(name, (sys.executable, "-m", "stagewalk_standins", kind, *flags))


def nodes_flag(nodes: list[NodeProcess], index: int) -> str:
    """Return the value of `--nodes`, with the node at `index` first."""
    ordered = [*nodes[index:], *nodes[:index]]
    return ",".join(f"{node.host.name}={node.host.url}" for node in ordered)
