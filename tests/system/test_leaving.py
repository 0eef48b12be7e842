"""Servers and nodes that leave get no new work, and answers in progress are completed."""

from __future__ import annotations

import signal
import time

import httpx

from rig.checks import find_faults
from rig.installation import LAYERS, Installation, expect_text, read_text
from rig.processes import wait_until

TEXT = "Summarise the correspondence of household 12"
MAX_DELAY_S = 3.0  # within which a leaving server gets no new work


def list_sessions_run(installation: Installation, server: str) -> set[str]:
    return {entry["session"] for entry in installation.read_journal(server) if entry["event"] == "run"}


def request_leave(installation: Installation, server: str) -> None:
    installation.client.post(installation.url(server) + "/control/leave").raise_for_status()


def drain(installation: Installation, server: str) -> None:
    installation.declared["draining"] = [*installation.declared.get("draining", []), server]
    assert installation.apply().is_success


def is_leaving_on_all_nodes(installation: Installation, server: str) -> bool:
    return all(
        state["leaving"]
        for node in installation.nodes
        for state in installation.show_state(node)["servers"]
        if state["vm"] == server
    )


def test_leaving_server_moves_its_answer_by_import(small: Installation) -> None:
    with small.stream(TEXT, max_tokens=60) as stream:
        stream.read(5)
        leaving = stream.route[1]
        request_leave(small, leaving)
        stream.read(20)
        small.processes[leaving].kill()
        assert stream.read() == expect_text(TEXT, max_tokens=60)
        assert stream.is_whole
    journals = {name: small.read_journal(name) for name in small.processes if name.startswith("runner")}
    assert find_faults(journals, LAYERS) == []
    assert any(entry["event"] == "import" for journal in journals.values() for entry in journal)


def test_slow_link_to_the_leaving_server_causes_a_rebuild(small: Installation) -> None:
    small.declared["links"] = [{"halls": ["osborne", "osborne"], "latency": 0.5, "bandwidth": 1000}]
    assert small.apply().is_success
    with small.stream(TEXT, max_tokens=60) as stream:
        stream.read(5)
        request_leave(small, stream.route[1])
        assert stream.read() == expect_text(TEXT, max_tokens=60)
    journals = {name: small.read_journal(name) for name in small.processes if name.startswith("runner")}
    entries = [entry for journal in journals.values() for entry in journal]
    assert not any(entry["event"] == "import" for entry in entries)
    assert any(entry["event"] == "run" and entry["rebuild"] for entry in entries)


def test_degraded_link_is_abandoned(small: Installation) -> None:
    for index in range(4):
        read_text(small.chat(f"warm up {index}"))
    with small.stream(TEXT, max_tokens=100) as stream:
        stream.read(5)
        degraded = stream.route[1]
        small.set_faults(degraded, delay=0.5)
        before = len(small.read_journal(degraded))
        assert stream.read() == expect_text(TEXT, max_tokens=100)
    after = [entry for entry in small.read_journal(degraded)[before:] if entry["event"] == "run"]
    assert len(after) < 20


def test_drained_server_gets_no_new_work_anywhere(pair: Installation) -> None:
    server = "runner-4a"
    drain(pair, server)
    wait_until(lambda: is_leaving_on_all_nodes(pair, server), timeout=MAX_DELAY_S)
    before = list_sessions_run(pair, server)
    for index in range(12):
        text = f"case {index}"
        assert read_text(pair.chat(text, node=pair.nodes[index % 2], max_tokens=3)) == expect_text(text, max_tokens=3)
    assert list_sessions_run(pair, server) == before


def test_leave_request_holds_while_the_vm_list_lags(installation: Installation) -> None:
    installation.start_platform(vm_list_lag=30)
    for first, end in ((0, 6), (6, 12)):
        for letter in "ab":
            installation.start_engine(f"runner-{first}{letter}", first, end)
    installation.start_node("entry-1")
    installation.apply_everywhere()
    server = "runner-6a"
    installation.client.post(installation.url("vms") + f"/control/{server}/leaving")
    request_leave(installation, server)
    wait_until(lambda: is_leaving_on_all_nodes(installation, server), timeout=MAX_DELAY_S)
    before = list_sessions_run(installation, server)
    for index in range(8):
        assert installation.chat(f"case {index}", max_tokens=3).is_success
    assert list_sessions_run(installation, server) == before


def test_vm_list_alone_marks_a_server_as_leaving(small: Installation) -> None:
    small.client.post(small.url("vms") + "/control/runner-0b/leaving")
    wait_until(lambda: is_leaving_on_all_nodes(small, "runner-0b"))


def test_node_stops_without_cutting_a_stream(pair: Installation) -> None:
    with pair.stream(TEXT, max_tokens=150) as stream:
        stream.read(5)
        stopping = pair.processes[pair.nodes[0]]
        stopping.send(signal.SIGTERM)
        wait_until(lambda: pair.client.get(pair.url(pair.nodes[0]) + "/readyz").status_code != httpx.codes.OK)
        assert stream.read() == expect_text(TEXT, max_tokens=150)
        assert stream.is_whole
    assert stopping.popen.wait(timeout=30) == 0


def test_stopping_node_refuses_new_requests_at_once(pair: Installation) -> None:
    with pair.stream(TEXT, max_tokens=400) as stream:
        stream.read(2)
        pair.processes[pair.nodes[0]].send(signal.SIGTERM)

        def is_refused() -> bool:
            return pair.chat("late", max_tokens=1).status_code == httpx.codes.SERVICE_UNAVAILABLE

        wait_until(is_refused)
        started = time.monotonic()
        refused = pair.chat("late", max_tokens=1)
        assert time.monotonic() - started < 2
        assert refused.json()["error"]["run"] == "not_run"
        assert refused.headers["Retry-After"]
        assert stream.read() == expect_text(TEXT, max_tokens=400)


def test_two_servers_and_a_node_leave_at_once(pair: Installation) -> None:
    with pair.stream(TEXT, max_tokens=150) as first, pair.stream(TEXT, node=pair.nodes[1], max_tokens=150) as second:
        first.read(3)
        second.read(3)
        pair.processes[pair.nodes[0]].send(signal.SIGTERM)
        request_leave(pair, first.route[0])
        remaining_node = pair.nodes[1]
        pair.declared["draining"] = [first.route[2]]
        assert pair.apply(remaining_node).is_success
        expected = expect_text(TEXT, max_tokens=150)
        assert first.read() == expected
        assert second.read() == expected
