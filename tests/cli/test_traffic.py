"""Explanations of refused requests, from the records of nodes."""

from __future__ import annotations

from vaneturn_cli.traffic import format_request, format_states
from vaneturn_core.traffic.state import AdmissionRecord, SeenService, TrafficRequest, TrafficSend, TrafficState


def test_refused_request_is_explained_with_the_figures_of_that_time() -> None:
    admission = AdmissionRecord(
        "llm",
        "refused",
        2,
        0.25,
        41.0,
        40.0,
        0.8,
        0.11,
        0.1,
        1.4,
        {0: 1.0, 2: 0.25},
        {0: 1e9, 2: 1.5},
        {"agency": 12.0},
    )
    steps = ["110ms admission: refused overloaded"]
    ending = "own 503 overloaded"
    shown = format_request(TrafficRequest("r-1", "later", "agency", ending, 0.11, 3, 0.1, steps, admission=admission))
    assert "41 requests in progress of a limit of 40; figures 0.80 s old" in shown
    assert "admitted share of its priority 0.25; by priority: 0: 1.00, 2: 0.25" in shown
    assert "by priority: 0: none, 2: 1.50" in shown
    assert "largest customers, requests per second: agency: 12.00" in shown
    assert "expected wait 0.10 s, waited 0.110 s" in shown
    assert "return after 1.40 s" in shown


def test_request_tells_how_its_answer_was_framed_and_ended() -> None:
    ends = {"answer_framing": "close", "answer_end": "closed", "answer_body_end": "inside event"}
    shown = format_request(TrafficRequest("r-1", "later", "agency", "broken off", 0.11, 3, 0.1, [], **ends))  # type: ignore[arg-type]
    assert "answer framed by close, its bytes ended: closed, its body ended: inside event" in shown
    assert "framed" not in format_request(TrafficRequest("r-1", "later", "agency", "client left", 0.11, 3, 0.1, []))


def test_request_tells_over_which_connection_it_was_sent() -> None:
    sends = [TrafficSend("i-1", 0.002, 7, 3, "refused"), TrafficSend("i-2", 0.004, 9, 1)]
    shown = format_request(TrafficRequest("r-1", "later", "agency", "status 200", 0.11, 3, 0.1, [], sends=sends))
    assert "sent to i-1 after 2 ms, connection 7, exchange 3, refused" in shown
    assert "sent to i-2 after 4 ms, connection 9, exchange 1, may have run" in shown


def test_state_names_services_only_where_requests_are_admitted_by_priority() -> None:
    state = TrafficState("entry-1", "n", 3, 0.1, True, False, False, ["entry-1"], None, 4, [])  # noqa: FBT003 # in order
    assert "prioritized" not in format_states([state])
    service = SeenService("llm", 40.0, 41.0, 3, 0.8, 12.5, {0: 1.0, 2: 0.25}, {2: 1.5}, {"agency": 12.0})
    loaded = TrafficState("entry-2", "n", 3, 0.1, True, False, False, [], None, 4, [], [service])  # noqa: FBT003 # in order
    shown = format_states([state, loaded])
    assert "12.5" in shown
    assert "0: 1.00, 2: 0.25" in shown
