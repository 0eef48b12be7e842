"""Admits streams of prioritized services before their first send: at once, after a wait, or not at all."""

from __future__ import annotations

from typing import Final

import anyio

from vaneturn_core.identifiers import ServiceName
from vaneturn_core.traffic.admission.demand import DemandKey
from vaneturn_core.traffic.admission.threshold import Verdict
from vaneturn_core.traffic.admission.waiting import MAX_WAIT_SHARE, WaitingRequest
from vaneturn_core.traffic.configuration import EngineProfile, Repeatability, TrafficConfiguration
from vaneturn_core.traffic.servers import ServerId
from vaneturn_core.traffic.state import SeenService
from vaneturn_node.clock import read_clock
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.servers.signals import Signal
from vaneturn_node.traffic.serving.admissionlog import AdmissionLog, AdmissionOutcome
from vaneturn_node.traffic.serving.admissionrequest import UNCOUNTED_PLACE, AdmissionRequest, Place
from vaneturn_node.traffic.serving.metrics import TrafficMetrics
from vaneturn_node.traffic.serving.outcomes import OwnAnswer, Reason, refuse
from vaneturn_node.traffic.serving.requests import RequestContext
from vaneturn_node.traffic.serving.serviceadmission import ServiceAdmission

OFFER_INTERVAL_S: Final = 0.05  # between two checks for room while requests wait, each for about 0.1 s


class StreamAdmitter:
    """Decides on the streams of prioritized services; other streams pass."""

    def __init__(self, parts: TrafficParts, metrics: TrafficMetrics) -> None:
        self._parts = parts
        self._metrics = metrics
        self._log = AdmissionLog(metrics)
        self._admissions: dict[ServiceName, ServiceAdmission] = {}
        self._has_waiting = Signal()
        parts.view.configuration_listeners.append(self._apply_configuration)
        parts.full_listeners.append(self._record_full)

    async def run(self) -> None:
        """Offer room to waiting requests until cancelled."""
        while True:
            await self._has_waiting.wait()
            while any(len(admission.queue) for admission in self._admissions.values()):
                await anyio.sleep(OFFER_INTERVAL_S)
                for admission in list(self._admissions.values()):
                    self._offer_room(admission)

    async def admit(self, context: RequestContext, engine: EngineProfile) -> Place | OwnAnswer:
        """Return the place of a request, or its refusal; no byte of it has been sent."""
        if (
            context.service not in self._parts.demand_scope.priorities
            or context.route.repeatability is not Repeatability.STREAM
        ):
            return UNCOUNTED_PLACE
        admission = self._admissions.get(context.service)
        if admission is None:
            admission = self._admissions[context.service] = ServiceAdmission(context.service, engine, self._parts)
        admission.engine = engine
        request = AdmissionRequest(context, self._parts.hall)
        self._parts.demand.record_arrival(request.key, request.customer)
        if not admission.has_chain():  # the forwarder then refuses it for this reason, which is more precise
            return self._take_place(admission, request.key)
        self._offer_room(admission)
        decision = request.decision = admission.decide(request)
        if decision.verdict is Verdict.ADMIT:
            self._log.count_admitted(request)
            return self._take_place(admission, request.key)
        if decision.verdict is Verdict.REFUSE and not request.is_resumed:
            return self._refuse(request, admission, Reason.CUSTOMER_SHARE)
        return await self._wait(request, admission)

    def describe_services(self) -> list[SeenService]:
        """Describe the prioritized services whose requests this node has handled."""
        return [admission.describe() for admission in self._admissions.values()]

    async def _wait(self, request: AdmissionRequest, admission: ServiceAdmission) -> Place | OwnAnswer:
        """Let a request wait in the queue, or refuse it if the wait would be too long."""
        now, objective = read_clock(), request.context.route.objective
        request.expected_wait = admission.queue.estimate_wait(request.queue_priority, request.customer, now)
        entry = admission.queue.push(
            request,
            route=request.context.route.name,
            priority=request.queue_priority,
            customer=request.customer,
            objective=objective,
            now=now,
        )
        if entry is None:
            return self._refuse(request, admission, Reason.OVERLOADED)
        request.waits_since = now
        self._count_waiting(admission, request.key)
        self._has_waiting.notify()
        is_over = False
        try:
            # counted from its arrival, so that the first reading of the configuration counts as well
            await request.wait(min(entry.until, request.context.request.arrived + MAX_WAIT_SHARE * objective) - now)
            is_over = True
        finally:
            admission.queue.remove(entry)
            self._count_waiting(admission, request.key)
            if not is_over:
                self._log.report(request, admission, AdmissionOutcome.LEFT)
                if request.place is not None:  # it was admitted in the turn of the event loop in which it left
                    request.place.release(is_whole=False)
        if request.place is not None:
            self._log.report(request, admission, AdmissionOutcome.WAITED)
            return request.place
        if request.is_dropped and (answer := self._answer_dropped(request.context)) is not None:
            self._log.report(request, admission, AdmissionOutcome.DROPPED)
            return answer
        return self._refuse(request, admission, Reason.OVERLOADED)

    def _refuse(self, request: AdmissionRequest, admission: ServiceAdmission, reason: Reason) -> OwnAnswer:
        self._parts.demand.record_refused(request.key)
        answer = refuse(reason, admission.assign_return(request.context.time_left), admission.explain(reason))
        self._log.report(request, admission, AdmissionOutcome.REFUSED, answer)
        return answer

    def _take_place(self, admission: ServiceAdmission, key: DemandKey) -> Place:
        self._parts.demand.record_admitted(key)
        admission.record_admitted()

        def release(whole_after: float | None) -> None:
            self._parts.demand.record_ended(key)
            if self._admissions.get(key.service) is not admission:
                return  # its figures were dropped with an earlier configuration
            admission.record_ended(whole_after)
            if len(admission.queue):
                admission.refresh(0.0)
                self._offer_room(admission)

        return Place(release)

    def _offer_room(self, admission: ServiceAdmission) -> None:
        """Admit the waiting requests that are admitted by the present figures."""

        def is_admitted(entry: WaitingRequest[AdmissionRequest]) -> bool:
            request = entry.item
            if admission.decide(request).verdict is not Verdict.ADMIT:
                return False
            request.admit(self._take_place(admission, request.key))
            return True

        if len(admission.queue):
            for entry in admission.queue.offer(read_clock(), is_admitted):
                self._count_waiting(admission, entry.item.key)

    def _count_waiting(self, admission: ServiceAdmission, key: DemandKey) -> None:
        if self._admissions.get(key.service) is admission:
            self._parts.demand.set_waiting(key, admission.queue.count(key.priority))

    def _record_full(self, server: ServerId) -> None:
        listed = self._parts.view.servers.get(server)
        admission = self._admissions.get(listed.service) if listed is not None else None
        if admission is not None:
            admission.record_full()

    def _apply_configuration(self) -> None:
        """Drop what belongs to services, routes and customers that the configuration no longer serves as before."""
        configuration = self._parts.view.configuration
        assert configuration is not None  # noqa: S101 # called when one has taken effect
        self._parts.restrict_demand(configuration)
        scope = self._parts.demand_scope
        self._metrics.restrict_admissions(scope)
        for service, admission in list(self._admissions.items()):
            if service in scope.priorities:
                dropped = admission.queue.remove_dropped(lambda entry: _is_kept(entry, configuration))
            else:
                dropped = admission.queue.remove_dropped(lambda _: False)
                del self._admissions[service]
            for entry in dropped:
                entry.item.drop()

    def _answer_dropped(self, context: RequestContext) -> Place | OwnAnswer | None:
        """Answer a dropped request as the new configuration does; None if it may only return and ask again."""
        configuration = self._parts.view.configuration
        if configuration is None or configuration.find_route(context.facts.host, context.request.path) is None:
            return OwnAnswer(404, Reason.NO_ROUTE)
        return None if context.service in self._parts.demand_scope.priorities else UNCOUNTED_PLACE


def _is_kept(entry: WaitingRequest[AdmissionRequest], configuration: TrafficConfiguration) -> bool:
    """Tell whether a configuration serves a waiting request by the same route, service, customer and priority."""
    context = entry.item.context
    route = configuration.find_route(context.facts.host, context.request.path)
    if route is None or route.priority != context.route.priority:
        return False
    if all(target.service != context.service for target in route.targets):
        return False
    if context.customer is None:
        return True
    return configuration.customers.get(context.facts.key or "") == context.customer


__all__ = ["StreamAdmitter"]
