"""A caller gets the whole answer to its own request, or an error."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from rig.installation import CHAT_PATH, Installation, Stream, caller_headers, expect_text, make_chat, read_text
from rig.measuring import read_memory, read_metric

SMALL_BUFFER_BYTES = 4096  # receive buffer of the slow reader
LONG_ANSWER_TOKENS = 3000


@pytest.fixture
def desk(installation: Installation) -> Installation:
    """One node and one server of a plain service."""
    installation.start_platform()
    installation.start_plain("desk-0", "brokerdesk")
    installation.start_node("entry-1")
    installation.apply_everywhere()
    return installation


def get(installation: Installation, path: str, timeout: str = "5") -> httpx.Response:
    url = installation.url("entry-1") + f"/services/brokerdesk/{path}"
    return httpx.get(url, headers=caller_headers(**{"Vaneturn-Timeout": timeout}), timeout=20)


def test_truncated_body_is_not_passed_on(desk: Installation) -> None:
    desk.set_faults("desk-0", truncate_replies=10)
    answer = get(desk, "cases/1")
    assert answer.status_code == httpx.codes.BAD_GATEWAY
    assert "beginning" not in answer.text


@pytest.mark.parametrize("status", [600, 999])
def test_answer_without_a_valid_status_is_not_passed_on(desk: Installation, status: int) -> None:
    """RFC 9110 knows statuses from 100 to 599; callers got others as answers."""
    desk.set_faults("desk-0", reply_status=status)
    answer = get(desk, "cases/1")
    assert answer.status_code == httpx.codes.BAD_GATEWAY
    assert "cases" not in answer.text


def test_late_reply_never_answers_another_call(desk: Installation) -> None:
    desk.set_faults("desk-0", delay=0.4)
    for number in range(5):
        assert get(desk, f"abandoned/{number}", "0.2").status_code == httpx.codes.BAD_GATEWAY
        assert get(desk, f"cases/{number}").json()["path"] == f"/cases/{number}"


def test_many_callers_get_their_own_answers(pair: Installation) -> None:
    def ask(number: int) -> bool:
        text = f"household {number}"
        return read_text(pair.chat(text, node=pair.nodes[number % 2])) == expect_text(text)

    with ThreadPoolExecutor(16) as threads:
        assert all(threads.map(ask, range(48)))


def open_slow_stream(installation: Installation, text: str) -> Iterator[Stream]:
    """Open a stream over a connection with a small receive buffer."""
    options = [(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)]
    body = make_chat(text, max_tokens=LONG_ANSWER_TOKENS, stream=True)
    url = installation.url("entry-1") + CHAT_PATH
    with (
        httpx.Client(transport=httpx.HTTPTransport(socket_options=options), timeout=120) as client,
        client.stream("POST", url, json=body, headers=caller_headers()) as response,
    ):
        yield Stream(response)


def find_prompt_with_long_answer() -> str:
    """Find a prompt whose answer is long."""
    return max(
        (f"letter {number}" for number in range(40)),
        key=lambda text: len(expect_text(text, max_tokens=LONG_ANSWER_TOKENS)),
    )


def test_slow_reader_delays_only_its_own_answer(installation: Installation) -> None:
    installation.start_platform()
    installation.start_engine("runner-0", 0, 12, "--iteration-seconds", "0.0005")
    installation.start_node("entry-1")
    installation.apply_everywhere()
    pid = installation.processes["entry-1"].popen.pid
    text = find_prompt_with_long_answer()
    expected = expect_text(text, max_tokens=LONG_ANSWER_TOKENS)
    before = read_memory(pid)
    for stream in open_slow_stream(installation, text):
        stream.read(2)
        produced = -1.0
        while (now := read_metric(installation.url("entry-1"), "vaneturn_tokens_total")) != produced:
            produced = now
            time.sleep(1.0)
        assert produced < expected.count(" w")
        assert read_memory(pid) - before < 32
        assert read_text(installation.chat("quick", max_tokens=3)) == expect_text("quick", max_tokens=3)
        assert expected.startswith(stream.read(50))
