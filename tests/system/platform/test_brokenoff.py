"""No answer that its server broke off reaches a client as complete, however it was framed."""

from __future__ import annotations

from pathlib import Path

import anyio
import httpx
import pytest

from rig.rawclient import read_to_end
from rig.traffic import Traffic, list_ids, open_traffic, wait_for
from standins.platform.endings import AnswerFraming, AnswerPlan, Close
from standins.platform.servers import Run
from standins.platform.wire import Exchange
from standins.vm import CutKind

pytestmark = pytest.mark.anyio

EVENT_BYTES = len(b"id: 1\ndata: token 1 of request-9\n\n")
CUTS_INSIDE_EVENTS = {
    "after one byte": 1,
    "in the first event": EVENT_BYTES // 2,
    "before its blank line": EVENT_BYTES - 1,
    "after id": EVENT_BYTES + len(b"id: "),
    "in a line": 2 * EVENT_BYTES + EVENT_BYTES // 2,
}
FRAMINGS = [pytest.param(framing, id=framing.value) for framing in AnswerFraming]
PLANS = {
    **{
        f"inside an event, {name}": AnswerPlan(AnswerFraming.CLOSE, sent_bytes=at)
        for name, at in CUTS_INSIDE_EVENTS.items()
    },
    "before the first event": AnswerPlan(AnswerFraming.CLOSE, sent_bytes=0),
    "after an event, with its server": AnswerPlan(AnswerFraming.CLOSE, sent_bytes=2 * EVENT_BYTES, crashes_server=True),
    "after an event, by reset": AnswerPlan(AnswerFraming.CLOSE, Close.RESET, sent_bytes=2 * EVENT_BYTES),
}


def plan_first_answer(traffic: Traffic, plan: AnswerPlan) -> None:
    """Let the first answer end as planned; those after it are whole and sent in the usual way."""
    traffic.fleet.plan_answer = lambda run, _pieces: plan if run is traffic.fleet.runs[0] else None


@pytest.mark.parametrize("plan", [pytest.param(plan, id=name) for name, plan in PLANS.items()])
async def test_broken_off_stream_is_resumed_after_its_last_whole_event(traffic: Traffic, plan: AnswerPlan) -> None:
    await traffic.add_chains()
    plan_first_answer(traffic, plan)
    answer = await traffic.ask("/letter/1", X_Request_Id="request-9")
    assert list_ids(answer.text) == list(range(1, 11))
    assert answer.text.count(" of request-9\n\n") == 10
    assert [run.headers.get("last-event-id") for run in traffic.fleet.runs] == [None, _count_whole(plan)]


@pytest.mark.parametrize("plan", [pytest.param(plan, id=name) for name, plan in PLANS.items()])
async def test_broken_off_stream_that_must_not_run_twice_is_not_complete(traffic: Traffic, plan: AnswerPlan) -> None:
    await traffic.add_chains()
    plan_first_answer(traffic, plan)
    received = b""
    try:
        answer = await traffic.client.send(traffic.build("/notice/1", X_Request_Id="request-9"), stream=True)
        async for part in answer.aiter_raw():
            received += part
    except httpx.RemoteProtocolError:
        assert received.count(b"\n\n") * EVENT_BYTES == len(received)
    else:
        assert answer.status_code in {502, 504}, received
    assert len(traffic.fleet.runs) == 1


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("path", ["/letter/1", "/notice/1"])
async def test_stream_that_ends_inside_an_event_is_not_complete_though_its_framing_says_so(
    traffic: Traffic, path: str, framing: AnswerFraming
) -> None:
    plan = AnswerPlan(framing, sent_bytes=2 * EVENT_BYTES + EVENT_BYTES // 2)
    await traffic.add_chains()
    plan_first_answer(traffic, plan)
    if path == "/letter/1":
        answer = await traffic.ask(path, X_Request_Id="request-9")
        assert list_ids(answer.text) == list(range(1, 11))
        return
    with pytest.raises(httpx.RemoteProtocolError):
        await traffic.ask(path, X_Request_Id="request-9")


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("path", ["/letter/1", "/notice/1", "/once/1", "/check/1"])
async def test_whole_answer_stays_whole_at_one_run(traffic: Traffic, path: str, framing: AnswerFraming) -> None:
    await traffic.add_chains()
    await traffic.add_desk()
    traffic.fleet.plan_answer = lambda *_: AnswerPlan(framing)
    for _ in range(3):
        answer = await traffic.ask(path)
        assert answer.status_code == 200
        assert list_ids(answer.text) == list(range(1, 11)) or answer.text.startswith("answer to ")
    assert len(traffic.fleet.runs) == 3


@pytest.mark.parametrize(
    ("path", "status", "runs"),
    [pytest.param("/check/1", 200, 2, id="safe"), pytest.param("/once/1", 502, 1, id="once")],
)
async def test_plain_answer_whose_server_ended_with_it_is_not_complete(
    traffic: Traffic, path: str, status: int, runs: int
) -> None:
    for _ in range(2):
        await traffic.add_desk()
    plan_first_answer(traffic, AnswerPlan(AnswerFraming.CLOSE, sent_bytes=5, crashes_server=True))
    answer = await traffic.ask(path, X_Request_Id="request-9")
    assert answer.status_code == status
    assert status != 200 or answer.text == "answer to request-9"
    assert len(traffic.fleet.runs) == runs


async def test_whole_plain_answer_is_not_asked_for_again_while_its_server_is_asked_whether_it_runs(
    traffic: Traffic,
) -> None:
    """The try's time limit ended the question, and a second server ran the request as well."""
    for _ in range(2):
        (await traffic.add_desk()).report_time = 0.4
    traffic.fleet.plan_answer = lambda *_: AnswerPlan(AnswerFraming.CLOSE)
    for server in traffic.fleet.servers.values():
        server.work_time = 0.5  # the first try of a safe request ends after 0.6 s
    answer = await traffic.ask("/check/1")
    assert answer.status_code == 200
    assert len(traffic.fleet.runs) == 1


async def test_http_1_0_client_sees_that_its_answer_was_broken_off(traffic: Traffic) -> None:
    """To an HTTP/1.0 client, an orderly close is the end of a whole answer; only a reset says otherwise."""
    await traffic.add_chains()
    plan_first_answer(traffic, PLANS["after an event, by reset"])
    with pytest.raises(ConnectionResetError):
        await read_to_end(traffic.build("/notice/1"))
    assert len(traffic.fleet.runs) == 1


async def test_http_1_0_client_gets_a_whole_answer(traffic: Traffic) -> None:
    await traffic.add_chains()
    text = (await read_to_end(traffic.build("/notice/1"))).decode()
    assert list_ids(text) == list(range(1, 11))


async def test_http_1_0_client_of_a_node_that_is_killed_sees_that_its_answer_was_broken_off(traffic: Traffic) -> None:
    await traffic.add_chains()
    traffic.fleet.answer_tokens = 500

    async def kill_node() -> None:
        await wait_for(lambda: bool(traffic.fleet.runs and len(traffic.fleet.runs[0].tokens) > 5))
        traffic.nodes[0].process.end()

    traffic.fleet.tasks.start_soon(kill_node)
    with pytest.raises(ConnectionResetError):
        await read_to_end(traffic.build("/notice/1"))


@pytest.mark.parametrize("name", ["inside an event, in a line", "after an event, with its server"])
async def test_broken_off_stream_over_another_node_is_resumed(tmp_path: Path, name: str) -> None:
    async with open_traffic(tmp_path, nodes=2, link_rate=2_500_000.0) as traffic:
        await traffic.add_chains()
        plan_first_answer(traffic, PLANS[name])
        traffic.cut_off(traffic.nodes[0], CutKind.REFUSED)
        answer = await traffic.ask("/letter/1", X_Request_Id="request-9")
        assert list_ids(answer.text) == list(range(1, 11))
        assert (await traffic.nodes[1].wait_for_log("request-9"))["forwarded_by"] == "entry-1"


async def test_log_names_framing_and_end_of_an_answer(traffic: Traffic) -> None:
    await traffic.add_chains()
    plan_first_answer(traffic, PLANS["inside an event, in a line"])
    with pytest.raises(httpx.RemoteProtocolError):
        await traffic.ask("/notice/1", X_Request_Id="request-9")
    line = await traffic.nodes[0].wait_for_log("request-9")
    assert line["ending"] == "broken off"
    assert [line["answer_framing"], line["answer_end"], line["answer_body_end"]] == ["close", "closed", "inside event"]


async def test_metrics_count_answers_that_were_broken_off_by_their_end(traffic: Traffic) -> None:
    await traffic.add_chains()
    plan_first_answer(traffic, PLANS["after an event, with its server"])
    await traffic.ask("/letter/1", X_Request_Id="request-9")
    line = await traffic.nodes[0].wait_for_log("request-9")
    assert [line["answer_framing"], line["answer_end"]] == ["chunks", "framed"]  # of the try that resumed it
    text = (await traffic.client.get(f"http://127.0.0.1:{traffic.nodes[0].metrics_port}/metrics")).text
    assert 'vaneturn_broken_answers_total{body_end="after event",end="closed",framing="close"} 1.0' in text


async def test_stream_whose_newest_event_has_no_id_is_not_resumed(traffic: Traffic) -> None:
    """A resumed answer begins after the last id, so the client got the events after it twice."""

    async def break_off(exchange: Exchange, run: Run) -> None:
        for server in traffic.fleet.servers.values():
            server.fault_handler = None
        await exchange.begin(200, {"X-Request-Id": run.request, "X-Response-Seal": "seal"})
        await exchange.send(b"id: 1\ndata: token 1\n\n: comment\n\ndata: without an id\n\n")
        await anyio.sleep(0.05)
        await exchange.reset()

    for server in await traffic.add_chains():
        server.fault_handler = break_off
    with pytest.raises(httpx.RemoteProtocolError):
        await traffic.ask("/letter/1")
    assert len(traffic.fleet.runs) == 1


def _count_whole(plan: AnswerPlan) -> str | None:
    return str((plan.sent_bytes or 0) // EVENT_BYTES) if (plan.sent_bytes or 0) >= EVENT_BYTES else None
