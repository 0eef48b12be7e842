"""Decides what becomes of each request, and writes one log line on it."""

from __future__ import annotations

import logging
import random
from typing import Final

import anyio
import msgspec
from anyio import CancelScope

from vaneturn_core.identifiers import ServiceName
from vaneturn_core.traffic.configuration import EngineProfile, TrafficConfiguration, TrafficCustomer, TrafficRoute
from vaneturn_core.traffic.contents import format_content
from vaneturn_core.traffic.pace import Pause
from vaneturn_core.traffic.state import TrafficRequest
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.server import ClientAnswer, ClientRequest
from vaneturn_node.platform.directives import RETRY_AFTER
from vaneturn_node.platform.headers import RequestFacts, build_client_headers, read_request_facts
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.endedtraffic import EndedTraffic
from vaneturn_node.traffic.serving.metrics import TrafficMetrics
from vaneturn_node.traffic.serving.outcomes import Answered, OwnAnswer, Reason, refuse
from vaneturn_node.traffic.serving.plain import PlainForwarder
from vaneturn_node.traffic.serving.requests import RequestInProgress
from vaneturn_node.traffic.serving.streams import StreamForwarder

NO_CONFIGURATION_RETRY: Final = 0.3  # seconds; a node reads the configuration in its first second
NO_PAUSE: Final = Pause(0.0, 0.0)
OLD_KEYS_RETRY: Final = 0.2  # seconds: other nodes may reach the store

logger = logging.getLogger(__name__)


class Answerer:
    """Answers the requests of all connections."""

    def __init__(self, parts: TrafficParts, metrics: TrafficMetrics, ended: EndedTraffic) -> None:
        self._parts = parts
        self._ended = ended
        self._metrics = metrics
        self._plain = PlainForwarder(parts)
        self._streams = StreamForwarder(parts)
        self._open: dict[CancelScope, RequestInProgress] = {}
        self.in_progress = 0
        parts.crashes.listeners.append(self._end_barred)

    async def answer(self, request: ClientRequest, answer: ClientAnswer) -> None:
        """Answer one request."""
        facts = read_request_facts(request.headers)
        work: RequestInProgress | None = None
        result: Answered | OwnAnswer | None = None
        ending = "client left"
        self.in_progress += 1
        try:
            if self._parts.view.configuration is None:
                await self._parts.first_reading.wait(facts.deadline, request.arrived)
            admitted = self._admit(request, facts)
            if isinstance(admitted, OwnAnswer):
                result = admitted
            else:
                work = admitted
                result = await self._forward_in_time(work, answer)
            ending = await self._finish(result, answer)
        finally:
            self.in_progress -= 1
            self._log(request, facts, work, result, ending)

    def _admit(self, request: ClientRequest, facts: RequestFacts) -> RequestInProgress | OwnAnswer:
        """Find the route and the customer of a request, by the configuration in force now."""
        configuration = self._parts.view.configuration
        if configuration is None:
            return refuse(Reason.NO_CONFIGURATION, NO_CONFIGURATION_RETRY, self._parts.first_reading.describe())
        route = configuration.find_route(facts.host, request.path)
        are_valid = self._parts.view.are_keys_valid()
        if route is None:
            return OwnAnswer(404, Reason.NO_ROUTE) if are_valid else refuse(Reason.KEYS_TOO_OLD, OLD_KEYS_RETRY)
        customer = configuration.customers.get(facts.key) if facts.key is not None else None
        if not route.is_public and configuration.needs_keys:
            if not are_valid:
                return refuse(Reason.KEYS_TOO_OLD, OLD_KEYS_RETRY)
            if customer is None:
                return OwnAnswer(401, Reason.NO_KEY if facts.key is None else Reason.UNKNOWN_KEY)
        return RequestInProgress(
            request=request,
            facts=facts,
            route=route,
            service=_choose_service(route),
            customer=customer,
            has_key=lambda: self._has_key(route, facts, customer),
            crashes=self._parts.crashes,
        )

    def _has_key(self, route: TrafficRoute, facts: RequestFacts, customer: TrafficCustomer | None) -> bool:
        """Tell whether the key of a request still allows it, by what the store confirmed a moment ago."""
        configuration = self._parts.view.configuration
        if configuration is None or route.is_public or not configuration.needs_keys:
            return True
        if not self._parts.view.are_keys_valid() or customer is None or facts.key is None:
            return False
        now = configuration.customers.get(facts.key)
        return now is not None and now.name == customer.name

    async def _forward_in_time(self, work: RequestInProgress, answer: ClientAnswer) -> Answered | OwnAnswer | None:
        """Forward a request; at the end of its time it gets its final answer, or is broken off."""
        if work.left <= 0:  # it has waited for the first configuration
            return refuse(Reason.TIMEOUT, OLD_KEYS_RETRY)
        result: Answered | OwnAnswer | None = None
        with anyio.move_on_after(work.left) as scope:
            self._open[scope] = work
            try:
                result = await self._forward(work, answer)
            finally:
                del self._open[scope]
        if not isinstance(result, Answered) and not answer.is_begun and work.is_barred:
            return work.bar()
        if not scope.cancelled_caught:
            return result
        work.note("time is up")
        if answer.is_begun:
            return None
        if work.sends:
            return OwnAnswer(504, Reason.TIMEOUT)
        return refuse(Reason.TIMEOUT, OLD_KEYS_RETRY)

    def _end_barred(self) -> None:
        """End the requests that may not run any more and wait for their first event: their servers go on."""
        for scope, work in self._open.items():
            if work.sends and not work.events and work.is_barred:
                scope.cancel()

    def note_suspended(self, seconds: float) -> None:
        """Take note that this VM was suspended: the time of requests went on, that of their waits stood still."""
        for scope in self._open:
            scope.deadline -= seconds

    async def _forward(self, work: RequestInProgress, answer: ClientAnswer) -> Answered | OwnAnswer | None:
        configuration = self._parts.view.configuration
        engine = _find_engine(configuration, work.service)
        if engine is not None:
            return await self._streams.forward(work, engine, answer)
        return await self._plain.forward(work)

    async def _finish(self, result: Answered | OwnAnswer | None, answer: ClientAnswer) -> str:
        """Write an answer that was not relayed; gives how the request ended, for the log."""
        if result is None:
            return "whole" if answer.is_ended else "broken off"
        if isinstance(result, Answered):
            await answer.send_whole(result.status, build_client_headers(result.headers), result.body)
            return f"status {result.status}"
        # an open connection stays with its node: the client's next one goes to a node that is ready
        answer.closes_connection = answer.closes_connection or not self._parts.view.is_ready()
        headers = [(b"content-type", b"application/json")]
        if result.retry_after is not None:
            headers.append((RETRY_AFTER, f"{result.retry_after:.2f}".encode()))
        body = msgspec.json.encode({"error": result.reason.value, "cause": result.cause})
        await answer.send_whole(result.status, headers, body)
        return f"own {result.status} {result.reason.value}"

    def _log(
        self,
        request: ClientRequest,
        facts: RequestFacts,
        work: RequestInProgress | None,
        result: Answered | OwnAnswer | None,
        ending: str,
    ) -> None:
        seconds = read_clock() - request.arrived
        route = work.route.name if work is not None else ""
        customer = work.customer.name if work is not None and work.customer is not None else ""
        self._metrics.observe(route, customer, ending, seconds)
        configuration = self._parts.view.configuration
        pause = (work.longest_pause if work is not None else None) or NO_PAUSE
        ended = TrafficRequest(
            request=facts.id,
            route=route,
            customer=customer,
            ending=ending,
            seconds=round(seconds, 3),
            version=configuration.version if configuration is not None else None,
            age=round(self._parts.view.told_age, 3),
            steps=work.steps if work is not None else [],
            reason=result.reason.value if isinstance(result, OwnAnswer) else "",
            cause=result.cause if isinstance(result, OwnAnswer) else "",
            events=work.events if work is not None else 0,
            first_event=round(work.first_event, 3) if work is not None else 0.0,
            longest_pause=round(pause.length, 3),
            looked=round(pause.looked, 3),
            found=round(pause.found, 3),
            went_on=round(pause.went_on, 3),
            content=format_content(work.content) if work is not None else "",
        )
        self._ended.add(facts.id, ended)
        logger.info("request ended", extra=msgspec.structs.asdict(ended))


def _choose_service(route: TrafficRoute) -> ServiceName:
    """Choose among the services of a route in proportion to their weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    return random.choices(route.targets, [target.weight for target in route.targets])[0].service


def _find_engine(configuration: TrafficConfiguration | None, name: ServiceName) -> EngineProfile | None:
    service = configuration.services.get(name) if configuration is not None else None
    return service.engine if service is not None else None


__all__ = ["Answerer"]
