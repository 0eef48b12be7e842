"""Admission of streams before their first send, with chosen decisions and room in place of computed ones."""

from __future__ import annotations

import dataclasses
import time
from dataclasses import dataclass, field
from functools import partial
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from core.traffic.admission.samples import LLM, make_configuration, make_key, make_route
from node.traffic.samples import make_parts
from rig.traffic import wait_for
from vaneturn_core.identifiers import CustomerName, RequestId, ServiceName
from vaneturn_core.traffic.admission.threshold import Decision, Verdict
from vaneturn_core.traffic.admission.waiting import MAX_WAITING
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.configuration import EngineProfile, TrafficConfiguration, TrafficCustomer, TrafficRoute
from vaneturn_core.traffic.servers import ServerId
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.platform.headers import RequestFacts
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving import admissionrequest, admitting
from vaneturn_node.traffic.serving.admissionrequest import UNCOUNTED_PLACE, AdmissionRequest, Place
from vaneturn_node.traffic.serving.admitting import StreamAdmitter
from vaneturn_node.traffic.serving.metrics import TrafficMetrics
from vaneturn_node.traffic.serving.outcomes import OwnAnswer, Reason
from vaneturn_node.traffic.serving.requests import RequestContext
from vaneturn_node.traffic.serving.serviceadmission import ServiceAdmission

pytestmark = pytest.mark.anyio

AGENCY = TrafficCustomer(CustomerName("agency"), None)
# requests wait for at most 2 s, so that busy machines do not end a wait before the test does
URGENT, LATER = (
    dataclasses.replace(make_route(name, level), objective=8.0) for name, level in [("urgent", 0), ("later", 2)]
)
RETURN_S = 0.7
ENGINE: Any = SimpleNamespace()


@dataclass
class Figures:
    """What a test chooses in place of computed figures."""

    verdict: Verdict = Verdict.WAIT
    room: int = 0
    asked: list[AdmissionRequest] = field(default_factory=list)


class ChosenAdmission(ServiceAdmission):
    """Takes its decisions and its room from a test."""

    def __init__(self, figures: Figures, service: ServiceName, engine: EngineProfile, parts: TrafficParts) -> None:
        super().__init__(service, engine, parts)
        self._figures = figures
        for _ in range(MAX_WAITING):  # requests end at a rate at which the whole queue expects to be served in time
            self.queue.record_end(read_clock())

    def refresh(self, max_age: float) -> None:
        assert max_age >= 0

    def has_chain(self) -> bool:
        return True

    def record_admitted(self) -> None:
        self._figures.room -= 1

    def record_ended(self, whole_after: float | None) -> None:
        assert whole_after is None or whole_after >= 0
        self.queue.record_end(read_clock())
        self._figures.room += 1

    def decide(self, request: AdmissionRequest) -> Decision:
        self._figures.asked.append(request)
        verdict = Verdict.ADMIT if self._figures.room > 0 else self._figures.verdict
        return Decision(verdict, 0.5, 2.0, 40, 40, 0.8)

    def assign_return(self, time_left: float) -> float:
        assert time_left > 0
        return RETURN_S


class Node:
    """An admitter with its parts and figures."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.figures = Figures()
        monkeypatch.setattr(admissionrequest, "fix_draw", lambda content, now: 0.5)  # noqa: ARG005 # their names
        monkeypatch.setattr(admitting, "ServiceAdmission", partial(ChosenAdmission, self.figures))
        self.view = PlatformView(5.0, time.monotonic)
        self.parts = make_parts("entry-1", self.view, ServerStatuses(), Caller(LinkPool()))
        self.metrics = TrafficMetrics()
        self.admitter = StreamAdmitter(self.parts, self.metrics)
        self.view.take_configuration(make_configuration([URGENT, LATER]))
        self.results: list[Place | OwnAnswer] = []

    def configure(self, configuration: TrafficConfiguration) -> None:
        assert self.view.take_configuration(configuration)

    def make_context(self, route: TrafficRoute = URGENT, last_event: str | None = None) -> RequestContext:
        now = read_clock()
        target = f"{route.prefix}1"
        return RequestContext(
            request=ClientRequest("POST", target, target, [], b"", now),
            facts=RequestFacts(RequestId("request-1"), "host", 5.0, "key-agency", last_event, 100, 30),
            route=route,
            service=LLM,
            customer=AGENCY,
            is_key_valid=lambda: True,
            crashes=self.parts.crashes,
        )

    async def admit(self, context: RequestContext) -> None:
        self.results.append(await self.admitter.admit(context, ENGINE))

    def read_own(self, priority: int = 0) -> tuple[int, int]:
        """Return the requests in progress and waiting of a priority."""
        row = self.parts.demand.list_rows().demand.get(make_key(priority, "east"))
        return (row.in_progress, row.waiting) if row is not None else (0, 0)

    def list_outcomes(self) -> dict[tuple[str, str], int]:
        return {(labels.outcome, labels.reason): count for labels, count in self.metrics.admissions.items()}


@pytest.fixture
def node(monkeypatch: pytest.MonkeyPatch) -> Node:
    return Node(monkeypatch)


async def test_service_without_priorities_is_not_touched(node: Node) -> None:
    node.configure(make_configuration([URGENT], version=2))
    await node.admit(node.make_context())
    assert node.results == [UNCOUNTED_PLACE]
    assert not node.parts.demand.list_rows().demand
    assert not node.admitter.describe_services()


async def test_place_is_released_exactly_once(node: Node) -> None:
    """A place released twice lets a request too many in; one that is never released is lost for good."""
    node.figures.verdict = Verdict.ADMIT
    await node.admit(node.make_context())
    place = node.results[0]
    assert isinstance(place, Place)
    assert node.read_own() == (1, 0)
    for _ in range(2):
        place.release(is_whole=False)
        assert node.read_own() == (0, 0)
    assert node.figures.room == 0
    assert node.list_outcomes() == {("admitted", ""): 1}


async def test_request_that_finds_no_room_is_refused_within_a_quarter_of_its_objective(node: Node) -> None:
    context = node.make_context(dataclasses.replace(URGENT, objective=0.4))
    await node.admit(context)
    assert node.results == [OwnAnswer(503, Reason.OVERLOADED, RETURN_S, "llm is overloaded")]
    assert 0.09 < context.age < 0.2
    assert context.sends == 0
    assert node.read_own() == (0, 0)
    assert context.admission is not None
    assert (context.admission.limit, context.admission.share, context.admission.age) == (40, 0.5, 0.8)
    assert context.admission.waited > 0
    assert context.admission.retry_after == RETURN_S


async def test_customer_over_its_rate_is_refused_at_once(node: Node) -> None:
    node.figures.verdict = Verdict.REFUSE
    context = node.make_context()
    await node.admit(context)
    assert isinstance(node.results[0], OwnAnswer)
    assert node.results[0].reason is Reason.CUSTOMER_SHARE
    assert context.age < 0.05
    assert node.list_outcomes() == {("refused", "customer_share"): 1}


async def test_request_without_an_objective_does_not_wait(node: Node) -> None:
    context = node.make_context()
    context.route = dataclasses.replace(URGENT, objective=0.0)
    await node.admit(context)
    assert isinstance(node.results[0], OwnAnswer)
    assert context.age < 0.05


async def test_waiting_request_gets_the_place_of_one_that_ends(node: Node) -> None:
    node.figures.verdict = Verdict.ADMIT
    await node.admit(node.make_context())
    node.figures.verdict = Verdict.WAIT
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.admit, node.make_context(LATER))
        await wait_for(lambda: node.read_own(2) == (0, 1))
        place = node.results[0]
        assert isinstance(place, Place)
        node.figures.room = 0
        place.release(is_whole=True)
    assert isinstance(node.results[1], Place)
    assert node.read_own(0) == (0, 0)
    assert node.read_own(2) == (1, 0)
    assert node.list_outcomes() == {("admitted", ""): 1, ("waited", ""): 1}


async def test_waiting_request_is_admitted_when_the_sums_show_room(node: Node) -> None:
    """Room that ends on other nodes is used as well."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.admitter.run)
        tasks.start_soon(node.admit, node.make_context())
        await wait_for(lambda: node.read_own() == (0, 1))
        node.figures.room = 1
        await wait_for(lambda: bool(node.results))
        tasks.cancel_scope.cancel()
    assert isinstance(node.results[0], Place)


async def test_client_that_leaves_frees_its_place_in_the_queue_at_once(node: Node) -> None:
    context = node.make_context()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.admit, context)
        await wait_for(lambda: node.read_own() == (0, 1))
        tasks.cancel_scope.cancel()
    assert node.read_own() == (0, 0)
    assert node.list_outcomes() == {("left", ""): 1}
    node.figures.room = 1
    node.admitter._offer_room(node.admitter._admissions[LLM])
    assert node.figures.room == 1  # it was not given to the request that left


async def test_client_that_leaves_as_it_is_admitted_frees_its_place(node: Node) -> None:
    """Both happen in one turn of the event loop: the place is given, and its request never takes it."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.admit, node.make_context())
        await wait_for(lambda: node.read_own() == (0, 1))
        node.figures.room = 1
        tasks.cancel_scope.cancel()
        node.admitter._offer_room(node.admitter._admissions[LLM])
        assert node.read_own() == (1, 0)
    assert node.results == []
    assert node.read_own() == (0, 0)
    assert node.figures.room == 1


async def test_deadline_ends_the_wait(node: Node) -> None:
    """The scope of the request's deadline cancels the wait; no place in the queue is left behind."""
    with anyio.move_on_after(0.03) as scope:
        await node.admit(node.make_context())
    assert scope.cancelled_caught
    assert node.read_own() == (0, 0)


async def test_resumed_stream_goes_ahead_of_new_ones(node: Node) -> None:
    """Otherwise a broken off answer, which was paid for, would be lost to a request that has not begun."""
    node.figures.verdict = Verdict.REFUSE
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.admit, node.make_context(LATER, last_event="7"))
        await wait_for(lambda: bool(node.figures.asked))
        node.figures.verdict = Verdict.WAIT
        tasks.start_soon(node.admit, node.make_context())
        await wait_for(lambda: node.read_own(0) == (0, 1))
        node.figures.room = 1
        node.admitter._offer_room(node.admitter._admissions[LLM])
    resumed = node.figures.asked[0]
    assert (resumed.customer, resumed.draw) == (None, 0.0)
    assert node.read_own(2) == (1, 0)
    assert node.list_outcomes() == {("waited", ""): 1, ("refused", "overloaded"): 1}


@pytest.mark.parametrize(
    ("configuration", "expected"),
    [
        pytest.param(make_configuration([URGENT], version=2), UNCOUNTED_PLACE, id="no longer prioritized"),
        pytest.param(make_configuration([], version=2), OwnAnswer(404, Reason.NO_ROUTE), id="service dropped"),
        pytest.param(
            make_configuration([make_route("other", 0), LATER], version=2),
            OwnAnswer(404, Reason.NO_ROUTE),
            id="route dropped",
        ),
        pytest.param(
            make_configuration([URGENT, LATER], customers=["other"], version=2),
            OwnAnswer(503, Reason.OVERLOADED, RETURN_S, "llm is overloaded"),
            id="customer dropped",
        ),
        pytest.param(
            make_configuration([make_route("urgent", 1), LATER], version=2),
            OwnAnswer(503, Reason.OVERLOADED, RETURN_S, "llm is overloaded"),
            id="priority changed",
        ),
    ],
)
async def test_configuration_ends_a_wait_and_leaves_no_state(
    node: Node, configuration: TrafficConfiguration, expected: Place | OwnAnswer
) -> None:
    node.figures.verdict = Verdict.ADMIT
    await node.admit(node.make_context())
    place = node.results.pop()
    node.figures.verdict = Verdict.WAIT
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.admit, node.make_context())
        await wait_for(lambda: node.read_own() == (1, 1))
        began = read_clock()
        node.configure(configuration)
    assert node.results == [expected]
    assert read_clock() - began < 0.05
    assert isinstance(place, Place)
    place.release(is_whole=True)
    assert node.read_own() == (0, 0)
    scope = node.parts.demand_scope
    assert node.admitter._admissions.keys() <= scope.priorities.keys()
    assert all(labels.priority in scope.priorities.get(labels.service, ()) for labels in node.metrics.admissions)


async def test_full_server_lowers_the_estimate_of_its_service(node: Node, monkeypatch: pytest.MonkeyPatch) -> None:
    calls: list[str] = []
    monkeypatch.setattr(ChosenAdmission, "record_full", lambda self: calls.append(self.service))
    node.figures.verdict = Verdict.ADMIT
    await node.admit(node.make_context())
    server: Any = SimpleNamespace(service=LLM)
    node.view.servers[ServerId("i-1")] = server
    node.parts.record_refusal(ServerId("i-1"), fullness=0.9)
    node.parts.record_refusal(ServerId("gone"), fullness=0.9)
    assert calls == [LLM]
