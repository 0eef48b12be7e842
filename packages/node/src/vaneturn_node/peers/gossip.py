"""Gossip between nodes: probes them and reports changes to them over one UDP socket."""

from __future__ import annotations

import itertools
import logging
import random
from collections.abc import Callable, Iterable
from typing import Final

import anyio
import msgspec
from anyio.abc import TaskGroup, UDPSocket

from vaneturn_core.decoding import MalformedError, decode_with
from vaneturn_core.identifiers import Revision, VmId
from vaneturn_core.membership.member import Member
from vaneturn_core.membership.table import MemberTable
from vaneturn_node.metrics import Metrics
from vaneturn_node.peers.messages import DATAGRAM_DECODER, ENCODER, Ack, Datagram, GossipReport, Ping, PingFor
from vaneturn_node.peers.seal import Sealer

PROBE_PERIOD_S: Final = 1.0  # between probes of a node
ACK_TIMEOUT_S: Final = 0.3  # for a direct ack
INDIRECT_TIMEOUT_S: Final = 0.5  # additional time for an ack through a helper
HELPER_COUNT: Final = 3
MAX_REPORTED_MEMBERS: Final = 8  # members in one datagram, which stays under 1,200 bytes
FANOUT: Final = 4  # members that get an immediate report of a newer configuration or a leaving server
REJOIN_PERIOD_S: Final = 10.0  # between pings of a seed or a dead member, which heal a network partition

logger = logging.getLogger(__name__)


class Gossip:
    """Gossip over one datagram socket, with one task that probes and one that answers."""

    def __init__(
        self,
        table: MemberTable,
        sealer: Sealer,
        seeds: Iterable[str],
        read_revision: Callable[[], Revision],
        metrics: Metrics,
    ) -> None:
        self.table = table
        self._sealer = sealer
        self._seeds = list(seeds)
        self._read_revision = read_revision
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._pending_acks: dict[int, anyio.Event] = {}
        self._leaving: frozenset[VmId] = frozenset()
        self._tasks: TaskGroup | None = None
        self._send_lock = anyio.Lock()
        self._newer_listeners: list[Callable[[Revision, str], None]] = []
        self._leaving_listeners: list[Callable[[VmId], None]] = []

    def on_newer_revision(self, listener: Callable[[Revision, str], None]) -> None:
        """Call the listener with each revision newer than this node's, and the address of the peer that has it."""
        self._newer_listeners.append(listener)

    def on_leaving(self, listener: Callable[[VmId], None]) -> None:
        """Call the listener with each server that a peer reports as leaving."""
        self._leaving_listeners.append(listener)

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses of nodes through which to join."""
        self._seeds.extend(address for address in addresses if address not in self._seeds)

    async def run(self) -> None:
        """Run until cancelled."""
        host, _, port = self.table.own.address.rpartition(":")
        async with (
            await anyio.create_udp_socket(local_host=host, local_port=int(port)) as socket,
            anyio.create_task_group() as tasks,
        ):
            self._socket = socket
            self._tasks = tasks
            tasks.start_soon(self._receive, socket, tasks)
            tasks.start_soon(self._rejoin)
            await self._probe()

    async def announce_stopping(self) -> None:
        """Announce that this node will stop."""
        self.table.announce_stopping()
        await self.announce()

    async def announce_stopped(self) -> None:
        """Announce that this node stops now."""
        self.table.announce_stopped()
        await self.announce()

    async def announce(self) -> None:
        """Report to some members immediately; they pass the report on."""
        for member in self.table.pick_random_peers(self.table.own.node, FANOUT):
            await self._send(member.address, Ping(next(self._numbers), self._make_report()))

    def announce_soon(self) -> None:
        """Report to some members from a separate task."""
        if self._tasks is not None:
            self._tasks.start_soon(self.announce)

    def report_leaving(self, vms: frozenset[VmId]) -> None:
        """Report from now on that these servers are leaving."""
        if vms - self._leaving:
            self.announce_soon()
        self._leaving = vms

    async def _probe(self) -> None:
        while True:
            self.table.expire()
            self._metrics.members.set(len(self.table.list_alive()))
            target = self.table.pick_probe()
            if target is not None and not await self._is_alive(target):
                logger.info("member does not answer", extra={"member": target.node, "member_vm": target.vm})
                self.table.suspect(target.node)
            await anyio.sleep(PROBE_PERIOD_S * random.uniform(0.9, 1.1))

    async def _is_alive(self, target: Member) -> bool:
        number = next(self._numbers)
        acked = self._pending_acks[number] = anyio.Event()
        try:
            await self._send(target.address, Ping(number, self._make_report()))
            with anyio.move_on_after(ACK_TIMEOUT_S):
                await acked.wait()
            if acked.is_set():
                return True
            for helper in self.table.pick_random_peers(target.node, HELPER_COUNT):
                await self._send(helper.address, PingFor(number, target.address, self._make_report()))
            with anyio.move_on_after(INDIRECT_TIMEOUT_S):
                await acked.wait()
            return acked.is_set()
        finally:
            del self._pending_acks[number]

    async def _rejoin(self) -> None:
        """Ping a seed or a dead member periodically; more often until the first peer is known."""
        while True:
            alive_addresses = {member.address for member in self.table.list_alive()}
            dead = [member.address for member in self.table.list_dead()]
            candidates = [address for address in (*self._seeds, *dead) if address not in alive_addresses]
            if candidates:
                report = self._make_report()
                introduction = msgspec.structs.replace(report, members=[self.table.own, *report.members])
                await self._send(random.choice(candidates), Ping(next(self._numbers), introduction))
            await anyio.sleep(REJOIN_PERIOD_S if self.table.list_peers() else PROBE_PERIOD_S / 4)

    async def _receive(self, socket: UDPSocket, tasks: TaskGroup) -> None:
        async for message, _ in socket:
            self._metrics.peer_bytes.labels("received").inc(len(message))
            payload = self._sealer.open(message)
            if payload is None:
                self._metrics.dropped.labels("seal").inc()
                continue
            try:
                datagram = decode_with(DATAGRAM_DECODER, payload)
            except MalformedError:
                self._metrics.dropped.labels("datagram").inc()
                continue
            await self._handle_datagram(datagram, tasks)

    async def _handle_datagram(self, datagram: Datagram, tasks: TaskGroup) -> None:
        self._process_report(datagram.report)
        match datagram:
            case Ping(number, report):
                await self._send(report.sender, Ack(number, self._make_report(report)))
            case Ack(number):
                acked = self._pending_acks.get(number)
                if acked is not None:
                    acked.set()
            case PingFor(number, target, report):
                tasks.start_soon(self._ping_for, number, target, report.sender)

    async def _ping_for(self, number: int, target: str, requester: str) -> None:
        own_number = next(self._numbers)
        acked = self._pending_acks[own_number] = anyio.Event()
        await self._send(target, Ping(own_number, self._make_report()))
        with anyio.move_on_after(INDIRECT_TIMEOUT_S):
            await acked.wait()
            await self._send(requester, Ack(number, self._make_report()))
        del self._pending_acks[own_number]

    def _process_report(self, report: GossipReport) -> None:
        self.table.merge(report.members)
        if report.revision > self._read_revision():
            for newer_listener in self._newer_listeners:
                newer_listener(report.revision, report.sender)
        for vm in report.leaving:
            for leaving_listener in self._leaving_listeners:
                leaving_listener(vm)

    def _make_report(self, received: GossipReport | None = None) -> GossipReport:
        """Make the report of a datagram; the answer to a node that introduces itself also includes some members."""
        own = self.table.own
        members = self.table.take_changes(MAX_REPORTED_MEMBERS)
        if (
            received is not None
            and own not in members
            and any(member.address == received.sender for member in received.members)
        ):
            peers = self.table.pick_random_peers(own.node, max(0, MAX_REPORTED_MEMBERS - len(members) - 1))
            members = [*members, own, *(peer for peer in peers if peer not in members)]
        return GossipReport(self._read_revision(), own.address, members, sorted(self._leaving))

    async def _send(self, address: str, datagram: Datagram) -> None:
        message = self._sealer.seal(ENCODER.encode(datagram))
        host, _, port = address.rpartition(":")
        self._metrics.peer_bytes.labels("sent").inc(len(message))
        try:
            async with self._send_lock:  # the socket supports one writer at a time
                await self._socket.sendto(message, host, int(port))
        except (OSError, ValueError, OverflowError) as error:  # also of an address that is none
            logger.info("datagram not sent", extra={"address": address, "cause": repr(error)})


__all__ = ["Gossip"]
