"""Obtains permits for requests to rate-limited servers from the node that issues them."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable
from typing import Final

import msgspec
from msgspec import Struct

from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.ratelimits import PermitIssuer, RateLimit, RateLimits, rank_issuers
from vaneturn_core.traffic.servers import ServerId
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller, Reply

PERMITS_PATH: Final = "/permits"
PERMIT_TIMEOUT_S: Final = 0.1  # time until an issuer times out; a healthy one answers in 2 to 10 ms
ISSUER_BACKOFF_S: Final = 2.0  # time for which an issuer that did not answer is not asked again
NO_ISSUER_WAIT_S: Final = 0.5  # time without requests to a server if no node can issue permits for it
MAX_PERMIT_WAIT_S: Final = 5.0  # a node asks again by then, as a low limit may have been lifted in the meantime
_OK: Final = 200

logger = logging.getLogger(__name__)


class PermitRequest(Struct):
    """Request for a permit, with what the asking node knows of the limit."""

    server: str
    rate: float | None
    age: float  # seconds since the server sent the limit


class PermitReply(Struct):
    """A permit, or the seconds until one may be available, and the latest known limit."""

    wait: float  # seconds; 0 means that the permit is granted
    rate: float | None
    age: float


class LimitRow(Struct, array_like=True):
    """A changed limit, as a node reports it to others."""

    server: str
    rate: float | None
    age: float


class Permits:
    """Obtains permits for this node, issues permits to other nodes and exchanges rate limits with them."""

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
        self._backoff_until: dict[VmId, float] = {}

    async def obtain(self, server: ServerId) -> bool:
        """Obtain a permit for one request; if refused, the server is not chosen until one may be available."""
        limit = self._limits.find(server)
        if limit is None or limit.rate is None:
            return True
        reply = await self._request_permit(server, limit)
        if reply is None:
            logger.info("no node issues permits", extra={"server": server, "rate_limit": limit.rate})
            self._beliefs[server].permit_at = read_clock() + NO_ISSUER_WAIT_S
            return False
        now = read_clock()
        if self._limits.record_report(server, reply.rate, now - reply.age, now).rate is None:
            return True
        self._beliefs[server].permit_at = read_clock() + min(reply.wait, MAX_PERMIT_WAIT_S)
        return reply.wait <= 0

    def forget_absent(self) -> None:
        """Drop the state of servers and nodes that are no longer listed."""
        self._limits.forget_absent(self._view.servers)
        self._issuer.forget_absent(self._view.servers)
        self._backoff_until = {vm: until for vm, until in self._backoff_until.items() if vm in self._view.nodes}

    def list_changed_limits(self) -> list[LimitRow]:
        """List the recently changed limits."""
        now = read_clock()
        news = self._limits.list_changes(now)
        return [LimitRow(server, limit.rate, max(0.0, now - limit.at)) for server, limit in news.items()]

    def apply_limits(self, reported: Iterable[LimitRow]) -> None:
        """Apply limits that another node reported; invalid ones are ignored."""
        now = read_clock()
        for limit in reported:
            server = ServerId(limit.server)
            if self._is_valid(server, limit.rate, limit.age):
                self._limits.record_report(server, limit.rate, now - limit.age, now)

    def _is_valid(self, server: ServerId, rate: float | None, age: float) -> bool:
        if server in self._view.servers and age >= 0 and (rate is None or 0 < rate < math.inf):
            return True
        logger.debug("reported rate limit ignored", extra={"server": server, "rate_limit": rate, "age": age})
        return False

    def answer_request(self, body: bytes) -> bytes | None:
        """Answer a permit request of another node; None if the request is invalid."""
        try:
            request = decode_json(body, PermitRequest)
        except MalformedError as error:
            logger.warning("permit request not understood", extra={"fault": str(error)})
            return None
        server = ServerId(request.server)
        if not self._is_valid(server, request.rate, request.age):
            return None
        return msgspec.json.encode(self._issue(server, request.rate, request.age))

    def _issue(self, server: ServerId, rate: float | None, age: float) -> PermitReply:
        now = read_clock()
        latest = self._limits.record_report(server, rate, now - age, now)
        wait = self._issuer.issue(server, latest.rate) if latest.rate is not None else 0.0
        return PermitReply(wait, latest.rate, max(0.0, read_clock() - latest.at))

    async def _request_permit(self, server: ServerId, limit: RateLimit) -> PermitReply | None:
        """Ask the issuers in their order until one answers."""
        nodes = self._view.nodes
        for issuer in rank_issuers(server, frozenset(nodes)):
            if issuer == self._vm:
                return self._issue(server, limit.rate, read_clock() - limit.at)
            address = nodes[issuer]
            if address is None or self._backoff_until.get(issuer, 0.0) > read_clock():
                continue
            reply = await self._request_from(address, server, limit)
            if reply is not None:
                return reply
            self._backoff_until[issuer] = read_clock() + ISSUER_BACKOFF_S
        return None

    async def _request_from(self, address: str, server: ServerId, limit: RateLimit) -> PermitReply | None:
        body = msgspec.json.encode(PermitRequest(server, limit.rate, max(0.0, read_clock() - limit.at)))
        reply = await self._caller.call(address, "POST", PERMITS_PATH, PERMIT_TIMEOUT_S, body=body)
        if not isinstance(reply, Reply) or reply.status != _OK:
            return None
        try:
            permit = decode_json(reply.body, PermitReply)
        except MalformedError as error:
            logger.warning("permit not understood", extra={"node": address, "fault": str(error)})
            return None
        return permit if self._is_valid(server, permit.rate, permit.age) else None


__all__ = ["PERMITS_PATH", "LimitRow", "PermitReply", "PermitRequest", "Permits"]
