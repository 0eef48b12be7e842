"""The route of one answer: which hops lack its positions, and which servers it avoids."""

from __future__ import annotations

from typing import Final

from vaneturn_core.identifiers import VmId
from vaneturn_core.routing.hops import Hop, Route
from vaneturn_node.answers.placement import Placement
from vaneturn_node.answers.request import AnswerRequest
from vaneturn_node.clock import read_clock

LOST_AVOIDANCE_S: Final = 30.0  # for which an answer avoids a server that did not reply
REFUSED_AVOIDANCE_S: Final = 1.0  # for which an answer avoids a server that refused a step


class AnswerRoute:
    """Holds the route of an answer, and searches for another when a hop has failed."""

    def __init__(self, placement: Placement) -> None:
        self._placement = placement
        self.current: Route | None = None
        self.lacking: set[Hop] = set()  # hops of the route whose cache lacks the held positions
        self.history: list[str] = []  # every route so far, for operators
        self._failed: tuple[Route, int] | None = None  # last route and its failed hop, while there is no route
        self._avoided: dict[VmId, float] = {}  # server -> time of read_clock() until which it is avoided

    @property
    def hops(self) -> tuple[Hop, ...]:
        """Return the hops of the route; none without one."""
        return self.current.hops if self.current else ()

    def choose(self, request: AnswerRequest) -> Route | None:
        """Choose a route: the failed one with its failed hop replaced, or else an entirely new one."""
        # The other hops are kept where possible, as their servers may accept no new session of this version.
        avoided = self.list_avoided()
        if self._failed is not None:
            route, index = self._failed
            return self._placement.replace_hop(request.pipeline, route, index, request.affinity, avoided)
        return self._placement.find_route(request.pipeline, request.affinity, avoided)

    def replace_hop(self, request: AnswerRequest, index: int) -> Route | None:
        """Find the current route with another server for one hop."""
        if self.current is None:
            return None
        avoided = {*self.list_avoided(), self.current.hops[index].vm}
        return self._placement.replace_hop(request.pipeline, self.current, index, request.affinity, avoided)

    def switch(self, route: Route | None) -> None:
        """Switch to another route; its hops that are not in the current route lack all held positions."""
        held = set(self.current.hops) - self.lacking if self.current else set()
        self.current = route
        if route is None:
            return
        self._failed = None
        self.lacking = set(route.hops) - held
        self.history.append(str(route))

    def list_leading(self) -> tuple[Hop, ...]:
        """List the leading hops up to the last one that lacks positions."""
        lacking = [index for index, hop in enumerate(self.hops) if hop in self.lacking]
        return self.hops[: max(lacking) + 1] if lacking else ()

    def fail_hop(self, index: int, *, is_lost: bool) -> None:
        """Note that the server of a hop has failed; the next route is the current one without it."""
        if self.current is None:
            raise AssertionError("no route to replace")
        avoidance = LOST_AVOIDANCE_S if is_lost else REFUSED_AVOIDANCE_S
        self._avoided[self.current.hops[index].vm] = read_clock() + avoidance
        self._failed = (self.current, index)

    def forget_failed(self) -> None:
        """Choose an entirely new route next."""
        self._failed = None

    def list_avoided(self) -> set[VmId]:
        """List the servers that are to be avoided now."""
        now = read_clock()
        return {vm for vm, until in self._avoided.items() if until > now}

    def clear_avoided(self) -> None:
        """Avoid no server any more."""
        self._avoided.clear()


__all__ = ["AnswerRoute"]
