"""Decides whether the answers of servers and other nodes are whole, and records those that are not."""

from __future__ import annotations

import logging

from vaneturn_core.traffic.completeness import AnswerEnd, BodyEnd, Completeness, judge_end
from vaneturn_core.traffic.servers import BackendServer
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import HttpLink, LinkError
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.servers.liveness import Liveness
from vaneturn_node.traffic.serving.requests import RequestContext

logger = logging.getLogger(__name__)


class AnswerEnds:
    """Decides on the ends of the answers to one request."""

    def __init__(self, parts: TrafficParts, context: RequestContext) -> None:
        self._parts = parts
        self._context = context

    async def read_whole(
        self, link: HttpLink, timeout_s: float, body_end: BodyEnd, server: BackendServer | None
    ) -> bytes:
        """Read the body of an answer that is not relayed as it arrives, and require it to be whole.

        :param timeout_s: without any bytes.
        :param body_end: of a body that is read to its end.
        :param server: that sends the answer; None for another node.
        :raises LinkError: it was broken off.
        """
        body = await self.read_body(link, timeout_s, body_end, server)
        await self.require_whole(link, body_end, server)
        return body

    async def read_body(
        self, link: HttpLink, timeout_s: float, body_end: BodyEnd, server: BackendServer | None
    ) -> bytes:
        """Read a body to the end of its bytes, which does not show yet that the answer is whole.

        Its bytes count as held until the request has ended.

        :raises LinkError: the connection was lost.
        """
        try:
            body, holder = await link.read_whole(timeout_s, self._parts.pool.budget)
        except LinkError:
            self.record_lost(link, body_end, server)
            raise
        self._context.held_answers.append(holder)
        return body

    async def require_whole(
        self, link: HttpLink, body_end: BodyEnd, server: BackendServer | None, *, may_be_empty: bool = False
    ) -> None:
        """Return if an answer that was read to its end is whole.

        An answer that only the end of its connection ends is whole if its server still runs. Without a reply of the
        server it counts as broken off: a stream that may be resumed gets its end from another server, any other caller
        learns that the end is not certain.

        :param server: that sent the answer; None for another node, which states the end of each answer itself.
        :param may_be_empty: whether a stream may have no event.
        :raises LinkError: it was broken off.
        """
        end = self._record(link, body_end)
        assert end is not None  # noqa: S101 # it was read to its end
        completeness = judge_end(end, may_be_empty=may_be_empty)
        liveness: Liveness | None = None
        asked_at = read_clock()
        if completeness is Completeness.UNCONFIRMED and server is not None:
            liveness = await self._parts.liveness.check(server, self._context.time_left)
        if completeness is Completeness.WHOLE or liveness is Liveness.RUNNING:
            return
        self._log_broken(end, server, liveness, read_clock() - asked_at)
        reason = f"{end.framing.value}, {end.ending.value}, {end.body_end.value}"
        raise LinkError(
            f"answer broken off ({reason}{', server ' + liveness.value if liveness else ''})",
            was_sent=True,
            is_unresponsive=liveness is Liveness.UNKNOWN,
        )

    def record_lost(self, link: HttpLink, body_end: BodyEnd, server: BackendServer | None) -> None:
        """Record an answer whose connection was lost; one without a head had not begun."""
        end = self._record(link, body_end)
        if end is not None:
            self._log_broken(end, server, None, 0.0)

    def _record(self, link: HttpLink, body_end: BodyEnd) -> AnswerEnd | None:
        if link.framing is None or link.ending is None:
            return None
        self._context.answer_end = end = AnswerEnd(link.framing, link.ending, body_end)
        return end

    def _log_broken(self, end: AnswerEnd, server: BackendServer | None, liveness: Liveness | None, took: float) -> None:
        self._context.broken_answers.append(end)
        extra = {
            "request": self._context.facts.id,
            "server": server.id if server is not None else "",
            "framing": end.framing.value,
            "end": end.ending.value,
            "body_end": end.body_end.value,
            "liveness": liveness.value if liveness is not None else "",
            "took": round(took, 3),
            "events": self._context.events,
        }
        logger.info("answer broken off", extra=extra)


__all__ = ["AnswerEnds"]
