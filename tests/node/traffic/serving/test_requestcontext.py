"""A request that must run once is sent again only if it has not run where it was sent before."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any, cast

import pytest

from vaneturn_core.identifiers import CustomerName, ServiceName, VmId
from vaneturn_core.traffic.beliefs import ServerStatus
from vaneturn_core.traffic.blame.crashboard import CrashBoard
from vaneturn_core.traffic.configuration import TrafficCustomer
from vaneturn_core.traffic.servers import ServerName
from vaneturn_node.http1.connection import Connection
from vaneturn_node.traffic.serving.firstnode import FirstNode
from vaneturn_node.traffic.serving.requests import RequestContext
from vaneturn_node.traffic.serving.sends import Evidence

ALLOWED = None


def make_context(*, may_repeat: bool, first_node: FirstNode | None = None) -> RequestContext:
    request: Any = SimpleNamespace(method="POST", target="/once/1", body=b"letter", arrived=time.monotonic())
    facts: Any = SimpleNamespace(
        id="r-1", host="desk.example", key=None, shared_parts=(), deadline=None, last_event_id=None
    )
    route: Any = SimpleNamespace(may_repeat=may_repeat, max_attempts=3, priority=1)
    crashes: Any = SimpleNamespace(find_block=lambda *_, **__: None, begin_trial=lambda *_: False)
    return RequestContext(request, facts, route, ServiceName("desk"), None, lambda: True, crashes, first_node)


def make_link(*, was_sent: bool) -> Any:
    return SimpleNamespace(was_sent=was_sent, connection=Connection(Any))  # type: ignore[arg-type] # has no stream


def claim_again(context: RequestContext, evidence: Evidence | None, *, was_sent: bool) -> str | None:
    """Claim a second send after a first one of which the given is known."""
    context.record_send("i-1", make_link(was_sent=was_sent)).evidence = evidence
    return context.claim_send(ServerStatus())


@pytest.mark.parametrize(
    ("evidence", "was_sent", "may_repeat", "is_allowed"),
    [
        pytest.param(None, True, False, False, id="may have run"),
        pytest.param(None, True, True, True, id="may have run and may repeat"),
        pytest.param(Evidence.NOT_SENT, False, False, True, id="not sent"),
        pytest.param(Evidence.REFUSED, True, False, True, id="refused"),
        pytest.param(Evidence.DECLINED, True, False, True, id="declined"),
    ],
)
def test_second_send_needs_evidence_that_the_first_has_not_run(
    evidence: Evidence | None, *, was_sent: bool, may_repeat: bool, is_allowed: bool
) -> None:
    context = make_context(may_repeat=may_repeat)
    obstacle = claim_again(context, evidence, was_sent=was_sent)
    assert (obstacle is ALLOWED) is is_allowed
    assert context.may_have_run is not is_allowed


@pytest.mark.parametrize("may_have_run", [True, False])
def test_request_that_may_have_run_at_the_first_node_is_not_sent_by_the_next(*, may_have_run: bool) -> None:
    first = FirstNode(VmId("entry-1"), 1, 1, may_have_run=may_have_run, is_resumed=False, must_run_once=True)
    obstacle = make_context(may_repeat=True, first_node=first).claim_send(ServerStatus())
    assert (obstacle is ALLOWED) is not may_have_run


def test_request_must_run_once_if_the_node_that_forwarded_it_says_so() -> None:
    """Two nodes with different versions of a route could each judge by their own."""
    first = FirstNode(VmId("entry-1"), 0, 0, may_have_run=False, is_resumed=False, must_run_once=True)
    context = make_context(may_repeat=True, first_node=first)
    assert not context.may_run_again
    assert claim_again(context, None, was_sent=True) is not ALLOWED


@pytest.mark.parametrize(
    ("is_confirmed", "is_known", "is_blocked", "expected"),
    [
        pytest.param(True, True, False, False, id="may be sent now"),
        pytest.param(False, True, False, True, id="not confirmed"),
        pytest.param(False, False, False, False, id="revoked"),
        pytest.param(False, True, True, False, id="its content is blocked"),
    ],
)
def test_request_may_be_sent_later_if_only_the_confirmation_of_its_key_is_missing(
    *, is_confirmed: bool, is_known: bool, is_blocked: bool, expected: bool
) -> None:
    context = make_context(may_repeat=True)
    context.is_key_valid = lambda: is_confirmed
    context.is_key_known = lambda: is_known
    context.crashes = cast("CrashBoard", SimpleNamespace(find_block=lambda *_, **__: object() if is_blocked else None))
    assert context.may_be_sent_later() is expected
    assert context.may_send() is (is_confirmed and not is_blocked)


@pytest.mark.parametrize("is_confirmed", [True, False])
def test_each_send_names_the_customer_only_while_its_key_is_confirmed(*, is_confirmed: bool) -> None:
    """The key of a request that waits for a place or is sent again may be revoked after its arrival."""
    customer = TrafficCustomer(CustomerName("broker"), 1)
    context = make_context(may_repeat=True)
    context.customer = context.key_holder = customer
    context.is_customer_confirmed = lambda: is_confirmed
    assert context.make_dispatch(ServerName("i-1")).customer == ("broker" if is_confirmed else None)


def test_content_of_a_caller_is_the_same_whether_its_key_is_confirmed_or_not() -> None:
    """Crashes that nodes with and without a path to the store have seen have to count together."""
    confirmed, unconfirmed = make_context(may_repeat=True), make_context(may_repeat=True)
    confirmed.key_holder = unconfirmed.key_holder = confirmed.customer = TrafficCustomer(CustomerName("broker"), 1)
    assert confirmed.fingerprint == unconfirmed.fingerprint
