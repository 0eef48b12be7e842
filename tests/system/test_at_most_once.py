"""A request that must not be repeated runs at most once over all nodes; one answered as not run was not run."""

from __future__ import annotations

import signal
import threading
import time

import httpx
import pytest

from rig.installation import CHAT_PATH, Installation, caller_headers, expect_text, make_chat, read_text
from rig.processes import wait_until

KEY = "verification-0001"


@pytest.fixture
def desk(installation: Installation) -> Installation:
    """Start two nodes and two servers of a plain service."""
    installation.start_platform()
    for index in range(2):
        installation.start_plain(f"desk-{index}", "brokerdesk")
        installation.start_node(f"entry-{index}")
    installation.apply_everywhere()
    return installation


def post(installation: Installation, node: str, key: str = KEY, timeout: float = 20) -> httpx.Response:
    url = installation.url(node) + "/services/brokerdesk/verifications"
    headers = caller_headers(**{"Idempotency-Key": key})
    return httpx.post(url, content=b"debtor 4", headers=headers, timeout=timeout)


def count_calls(installation: Installation, key: str = KEY) -> int:
    names = [name for name in installation.processes if name.startswith("desk")]
    return sum(entry["key"] == key for name in names for entry in installation.read_journal(name))


def read_run(response: httpx.Response) -> str:
    run: str = response.json()["error"]["run"]
    return run


def test_a_second_try_does_not_run(desk: Installation) -> None:
    assert post(desk, "entry-0").is_success
    again = post(desk, "entry-1")
    assert (again.status_code, read_run(again)) == (409, "unknown")
    assert count_calls(desk) == 1


def test_same_key_at_two_nodes_at_once(desk: Installation) -> None:
    for number in range(10):
        key = f"race-{number}"
        answers: list[httpx.Response] = []
        tries = [
            threading.Thread(target=lambda *sent: answers.append(post(desk, *sent)), args=(node, key))  # noqa: B023
            for node in ("entry-0", "entry-1", "entry-0", "entry-1")
        ]
        for thread in tries:
            thread.start()
        for thread in tries:
            thread.join()
        assert sorted(answer.is_success for answer in answers) == [False, False, False, True]
        assert count_calls(desk, key) == 1


def test_lost_reply_is_told_as_unknown_and_not_tried_again(desk: Installation) -> None:
    for name in ("desk-0", "desk-1"):
        desk.set_faults(name, lose_replies=1)
    url = desk.url("entry-0") + "/services/brokerdesk/verifications"
    headers = caller_headers(**{"Idempotency-Key": KEY, "Vaneturn-Timeout": "1"})
    lost = httpx.post(url, headers=headers, timeout=20)
    assert read_run(lost) == "unknown"
    assert read_run(post(desk, "entry-1")) == "unknown"
    assert count_calls(desk) == 1


def test_node_killed_in_the_middle(desk: Installation) -> None:
    for name in ("desk-0", "desk-1"):
        desk.set_faults(name, delay=1.0)

    def lose_connection() -> None:
        with pytest.raises(httpx.HTTPError):
            post(desk, "entry-0")

    first = threading.Thread(target=lose_connection)
    first.start()
    time.sleep(0.5)
    desk.processes["entry-0"].kill()
    first.join()
    assert read_run(post(desk, "entry-1")) == "unknown"
    time.sleep(1.0)
    assert count_calls(desk) <= 1


def test_node_frozen_around_its_claim_and_thawed(desk: Installation) -> None:
    desk.set_faults("kv", delay=0.6)
    answers: list[httpx.Response] = []
    first = threading.Thread(target=lambda: answers.append(post(desk, "entry-0")))
    first.start()
    time.sleep(0.9)  # the read has been answered and the write is in flight
    desk.processes["entry-0"].send(signal.SIGSTOP)
    time.sleep(1.0)
    second = post(desk, "entry-1")
    desk.processes["entry-0"].send(signal.SIGCONT)
    first.join()
    assert [answers[0].is_success, second.is_success].count(True) <= 1
    assert count_calls(desk) <= 1


def test_lost_answer_of_the_claim_still_runs_once(desk: Installation) -> None:
    desk.set_faults("kv", lose_write_answers=1)
    assert post(desk, "entry-0").is_success
    assert not post(desk, "entry-1").is_success
    assert count_calls(desk) == 1


def test_outage_refuses_and_the_key_can_be_used_after_it(desk: Installation) -> None:
    desk.set_faults("kv", down=True)
    started = time.monotonic()
    refused = post(desk, "entry-0")
    assert time.monotonic() - started < 5
    assert (refused.status_code, read_run(refused)) == (503, "not_run")
    assert refused.headers["Retry-After"]
    assert count_calls(desk) == 0
    desk.set_faults("kv")
    assert post(desk, "entry-1").is_success
    assert count_calls(desk) == 1


def test_refused_connection_was_not_run_and_releases_the_key(desk: Installation) -> None:
    for name in ("desk-0", "desk-1"):
        desk.processes[name].kill()
    refused = post(desk, "entry-0")
    assert read_run(refused) == "not_run"
    for name in ("desk-0", "desk-1"):
        desk.start(name, "standins.plainservice", "--journal", str(desk.folder / f"{name}.journal"), probe="/control/n")
    desk.wait_started()
    wait_until(lambda: post(desk, "entry-1").is_success)
    assert count_calls(desk) == 1


def test_repeatable_call_goes_on_to_another_server(desk: Installation) -> None:
    desk.processes["desk-0"].kill()
    for _ in range(10):
        url = desk.url("entry-0") + "/services/brokerdesk/cases/1"
        assert httpx.get(url, headers=caller_headers(), timeout=20).is_success


def test_call_without_a_key_is_refused(desk: Installation) -> None:
    url = desk.url("entry-0") + "/services/brokerdesk/verifications"
    refused = httpx.post(url, headers=caller_headers(), timeout=20)
    assert (refused.status_code, read_run(refused)) == (400, "not_run")


def test_chat_marked_as_not_repeatable(small: Installation) -> None:
    url = small.url("entry-1") + CHAT_PATH
    body = make_chat("Reminder for household 9", max_tokens=5)
    headers = caller_headers(**{"Idempotency-Key": KEY, "Vaneturn-Repeat": "never"})
    first = httpx.post(url, json=body, headers=headers, timeout=20)
    assert read_text(first) == expect_text("Reminder for household 9", max_tokens=5)
    again = httpx.post(url, json=body, headers=headers, timeout=20)
    assert (again.status_code, read_run(again)) == (409, "unknown")
