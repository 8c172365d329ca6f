"""Fault-injecting TCP and UDP proxy, with faults set per link over HTTP."""

from __future__ import annotations

import random
from pathlib import Path

import anyio
import msgspec

from stagewalk_standins.event_log import log_event
from stagewalk_standins.forwarder_datagrams import DatagramMesh, HostPort
from stagewalk_standins.forwarder_faults import LinkCounts, LinkFaults, LinkState
from stagewalk_standins.forwarder_streams import serve_streams
from stagewalk_standins.web import Answer, Application, Request, json_response, problem_response


class StreamLink(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A TCP link; addresses are `IP:PORT`."""

    name: str
    listen: str
    target: str


class Peer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A proxied node: TCP to it uses the link `NAME`, UDP from A to B the link `A:B`."""

    name: str
    listen: str
    target: str


class ForwarderLinks(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All links of a forwarder, read from a JSON file."""

    streams: tuple[StreamLink, ...] = ()
    peers: tuple[Peer, ...] = ()


class LinkView(msgspec.Struct, frozen=True):
    """A link as `GET /control/links/{name}` shows it."""

    faults: LinkFaults
    counts: LinkCounts


class LinkForwarder:
    """Forwards the traffic of all configured links.

    Parameters
    ----------
    seed
        Seed of the random datagram faults; each link has its own generator.
    """

    def __init__(self, links: ForwarderLinks, seed: int) -> None:
        self._streams = (
            *links.streams,
            *(StreamLink(p.name, p.listen, p.target) for p in links.peers),
        )
        self._peers = links.peers
        names = [peer.name for peer in links.peers]
        pairs = [(sender, receiver) for sender in names for receiver in names if sender != receiver]
        link_names = [link.name for link in self._streams] + [f"{a}:{b}" for a, b in pairs]
        self._states = {
            name: LinkState(name, random.Random(f"{seed} {name}")) for name in link_names
        }
        self._pairs = {(a, b): self._states[f"{a}:{b}"] for a, b in pairs}

    def application(self) -> Application:
        """Return the routes that set the faults and return a link's counts."""
        application = Application()
        application.route("PUT", "/control/links/{name}", self._set)
        application.route("GET", "/control/links/{name}", self._get)
        return application

    def link(self, name: str) -> LinkState:
        """Return the state of a link; raises `KeyError` if there is none."""
        return self._states[name]

    async def run(self) -> None:
        """Listen on all links and forward traffic until cancelled."""
        async with anyio.create_task_group() as tasks:
            for link in self._streams:
                host, port = split_address(link.listen)
                listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
                target = split_address(link.target)
                tasks.start_soon(serve_streams, self._states[link.name], listener, target)
            mesh = DatagramMesh({p.name: split_address(p.target) for p in self._peers}, self._pairs)
            tasks.start_soon(mesh.run, {p.name: split_address(p.listen) for p in self._peers})

    async def _set(self, request: Request) -> Answer:
        state = self._states.get(request.path_values["name"])
        if state is None:
            return problem_response(404, "unknown_link", request.path_values["name"])
        state.set(request.decode(LinkFaults))
        log_event("faults_set", link=state.name, faults=str(state.faults))
        return json_response(LinkView(state.faults, state.counts))

    async def _get(self, request: Request) -> Answer:
        state = self._states.get(request.path_values["name"])
        if state is None:
            return problem_response(404, "unknown_link", request.path_values["name"])
        return json_response(LinkView(state.faults, state.counts))


def read_links(path: Path) -> ForwarderLinks:
    """Read the links file; raises `msgspec.MsgspecError` if it is invalid."""
    return msgspec.json.decode(path.read_bytes(), type=ForwarderLinks)


def split_address(text: str) -> HostPort:
    """Return host and port of `IP:PORT`."""
    host, _, port = text.rpartition(":")
    return host, int(port)
