"""Gets permits for requests to servers that limit their rate, from the node that issues them."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable
from typing import Final

import msgspec
from msgspec import Struct

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.ratelimits import PermitIssuer, RateLimit, RateLimits, rank_issuers
from vaneturn_core.traffic.servers import ServerId
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller, Reply

PERMITS_PATH: Final = "/permits"
PERMIT_TIME: Final = 0.1  # seconds for an answer of the issuer; a sound one answers in 2 to 10 ms
LEFT_ALONE: Final = 2.0  # seconds for which an issuer that did not answer is not asked
NO_ISSUER_WAIT: Final = 0.5  # seconds without requests to a server for which no node issues permits
MAX_WAIT: Final = 5.0  # seconds until a node asks again, for low limits that end meanwhile
_OK: Final = 200

logger = logging.getLogger(__name__)


class PermitRequest(Struct):
    """A node asks for a permit, and tells what it knows of the limit."""

    server: str
    rate: float | None
    age: float  # seconds since the word on the limit


class PermitReply(Struct):
    """A permit, or the seconds until there may be one, and the newest word on the limit."""

    wait: float  # 0 is a permit
    rate: float | None
    age: float


class ToldLimit(Struct, array_like=True):
    """What a node tells others of a limit that has changed."""

    server: str
    rate: float | None
    age: float


class Permits:
    """The limits that this node knows, and its permits."""

    def __init__(
        self,
        *,
        vm: VmId,
        view: PlatformView,
        beliefs: ServerStatuses,
        limits: RateLimits,
        issuer: PermitIssuer,
        caller: Caller,
    ) -> None:
        self._vm = vm
        self._view = view
        self._beliefs = beliefs
        self._limits = limits
        self._issuer = issuer
        self._caller = caller
        self._left_until: dict[VmId, float] = {}

    async def obtain(self, server: ServerId) -> bool:
        """Get a permit for one request; without one the server is not chosen until there may be one."""
        limit = self._limits.find(server)
        if limit is None or limit.rate is None:
            return True
        reply = await self._ask(server, limit)
        if reply is None:
            logger.info("no node issues permits", extra={"server": server, "rate_limit": limit.rate})
            self._beliefs[server].permit_at = read_clock() + NO_ISSUER_WAIT
            return False
        now = read_clock()
        if self._limits.record_report(server, reply.rate, now - reply.age, now).rate is None:
            return True
        self._beliefs[server].permit_at = read_clock() + min(reply.wait, MAX_WAIT)
        return reply.wait <= 0

    def forget_absent(self) -> None:
        """Forget the servers that have left the list."""
        self._limits.forget_absent(self._view.servers)
        self._issuer.forget_absent(self._view.servers)
        self._left_until = {vm: until for vm, until in self._left_until.items() if vm in self._view.nodes}

    def list_news(self) -> list[ToldLimit]:
        """List the limits that have changed lately."""
        now = read_clock()
        news = self._limits.list_changes(now)
        return [ToldLimit(server, limit.rate, max(0.0, now - limit.at)) for server, limit in news.items()]

    def take_news(self, told: Iterable[ToldLimit]) -> None:
        """Take what another node tells; what is not sound is left out."""
        now = read_clock()
        for one in told:
            server = ServerId(one.server)
            if self._is_sound(server, one.rate, one.age):
                self._limits.record_report(server, one.rate, now - one.age, now)

    def _is_sound(self, server: ServerId, rate: float | None, age: float) -> bool:
        if server in self._view.servers and age >= 0 and (rate is None or 0 < rate < math.inf):
            return True
        logger.debug("word on a rate limit left out", extra={"server": server, "rate_limit": rate, "age": age})
        return False

    def answer(self, body: bytes) -> bytes | None:
        """Answer another node; none when its question is not understood."""
        try:
            asked = msgspec.json.decode(body, type=PermitRequest)
        except msgspec.DecodeError as error:
            logger.warning("question for a permit not understood", extra={"fault": str(error)})
            return None
        server = ServerId(asked.server)
        if not self._is_sound(server, asked.rate, asked.age):
            return None
        return msgspec.json.encode(self._issue(server, asked.rate, asked.age))

    def _issue(self, server: ServerId, rate: float | None, age: float) -> PermitReply:
        now = read_clock()
        newest = self._limits.record_report(server, rate, now - age, now)
        wait = self._issuer.issue(server, newest.rate) if newest.rate is not None else 0.0
        return PermitReply(wait, newest.rate, max(0.0, read_clock() - newest.at))

    async def _ask(self, server: ServerId, limit: RateLimit) -> PermitReply | None:
        """Ask the first issuer that answers."""
        nodes = self._view.nodes
        for issuer in rank_issuers(server, frozenset(nodes)):
            if issuer == self._vm:
                return self._issue(server, limit.rate, read_clock() - limit.at)
            address = nodes[issuer]
            if address is None or self._left_until.get(issuer, 0.0) > read_clock():
                continue
            reply = await self._call(address, server, limit)
            if reply is not None:
                return reply
            self._left_until[issuer] = read_clock() + LEFT_ALONE
        return None

    async def _call(self, address: str, server: ServerId, limit: RateLimit) -> PermitReply | None:
        body = msgspec.json.encode(PermitRequest(server, limit.rate, max(0.0, read_clock() - limit.at)))
        reply = await self._caller.call(address, "POST", PERMITS_PATH, PERMIT_TIME, body=body)
        if not isinstance(reply, Reply) or reply.status != _OK:
            return None
        try:
            permit = msgspec.json.decode(reply.body, type=PermitReply)
        except msgspec.DecodeError as error:
            logger.warning("permit not understood", extra={"node": address, "fault": str(error)})
            return None
        return permit if self._is_sound(server, permit.rate, permit.age) else None


__all__ = ["PERMITS_PATH", "PermitReply", "PermitRequest", "Permits", "ToldLimit"]
