"""An answer without events to a client that resumes a stream is not its end, also where the attempts are spent."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import httpx
import pytest

from rig.faults import Fault, break_off, set_faults
from rig.traffic import Traffic, list_ids, open_traffic, wait_for
from standins.platform.operator import configure, make_configuration
from standins.platform.servers import Run
from standins.platform.wire import Exchange
from system.platform.test_emptyends import ENDS, send_empty

pytestmark = pytest.mark.anyio

EMPTY = send_empty(*ENDS["length"])
EVENTS = 10


async def refuse(exchange: Exchange, run: Run) -> None:
    await exchange.reply(503, {"X-Not-Executed": "1", "X-Request-Id": run.request})


@pytest.fixture
async def frugal(tmp_path: Path) -> AsyncIterator[Traffic]:
    """A node without retries."""
    async with open_traffic(tmp_path, retry_ratio=0.0, retry_slack=0.0) as made:
        yield made


async def allow_one_attempt(traffic: Traffic) -> None:
    configuration = make_configuration(2)
    for route in configuration["routes"]:
        route["max_attempts"] = 1
    configure(traffic.fleet.store, configuration)
    await wait_for(lambda: any(line.get("version") == 2 for line in traffic.nodes[0].read_log()))


async def require_the_rest_or_an_error(traffic: Traffic) -> None:
    """Ask for the events after the fourth; a failure tells the client that the stream is not over."""
    try:
        answer = await traffic.ask("/letter/1", Last_Event_Id="4", X_Request_Id="rest")
    except httpx.RemoteProtocolError:
        return
    steps = (await traffic.nodes[0].wait_for_log("rest"))["steps"]
    if answer.status_code == httpx.codes.OK:
        assert list_ids(answer.text) == list(range(5, EVENTS + 1)), steps


async def test_client_that_resumes_with_one_attempt_is_not_told_that_the_stream_is_over(traffic: Traffic) -> None:
    """The empty answer of one server was passed on as whole, as no second server could be asked."""
    await traffic.add_chains(per_hall=4)
    await allow_one_attempt(traffic)
    set_faults(traffic, EMPTY)
    await require_the_rest_or_an_error(traffic)


@pytest.mark.parametrize(
    "faults", [[break_off(0), EMPTY], [EMPTY, *[break_off(0)] * 10]], ids=["reset, empty", "empty, resets"]
)
async def test_client_that_resumes_is_not_told_that_the_stream_is_over_by_one_server(
    traffic: Traffic, faults: list[Fault]
) -> None:
    await traffic.add_chains(per_hall=4)
    set_faults(traffic, *faults)
    await require_the_rest_or_an_error(traffic)


async def test_client_that_resumes_is_not_told_that_the_stream_is_over_while_the_other_servers_are_full(
    traffic: Traffic,
) -> None:
    """That the others refuse the request for now does not make one server the only one."""
    await traffic.add_chains(per_hall=4)
    set_faults(traffic, EMPTY, *[refuse] * 10)
    await require_the_rest_or_an_error(traffic)


async def test_client_that_resumes_is_not_told_that_the_stream_is_over_for_want_of_a_retry(frugal: Traffic) -> None:
    await frugal.add_chains(per_hall=4)
    set_faults(frugal, EMPTY)
    await require_the_rest_or_an_error(frugal)


async def test_stream_with_one_attempt_that_lost_only_its_end_is_whole(traffic: Traffic) -> None:
    """Its server is the only one that may be asked, and repeats the last event."""
    await traffic.add_chains(per_hall=4)
    await allow_one_attempt(traffic)
    set_faults(traffic, break_off(EVENTS))
    answer = await traffic.ask("/letter/1", X_Request_Id="end")
    assert list_ids(answer.text) == list(range(1, EVENTS + 1))
    assert len({run.server for run in traffic.fleet.runs}) == 1


@pytest.mark.parametrize("empty_answers", [1, 2])
async def test_stream_with_one_attempt_goes_on_after_empty_answers_of_its_server(
    traffic: Traffic, empty_answers: int
) -> None:
    """Its server is the only one that may be asked."""
    await traffic.add_chains(per_hall=4)
    await allow_one_attempt(traffic)
    set_faults(traffic, break_off(4), *[EMPTY] * empty_answers)
    answer = await traffic.ask("/letter/1", X_Request_Id="rest")
    steps = (await traffic.nodes[0].wait_for_log("rest"))["steps"]
    assert list_ids(answer.text) == list(range(1, EVENTS + 1)), steps
    assert len({run.server for run in traffic.fleet.runs}) == 1
