"""One node at a time orders engines, within the weight store's limit, and no order interrupts a session."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from rig.installation import LAYERS, Installation, expect_text, read_text
from rig.processes import wait_until

TEXT = "Check the verification letter of debtor 8"
RANGES = ((0, 6), (6, LAYERS))
MAX_LOADS = 2
SLOW_LAYER_S = 0.5  # the first engines then have the new version later than a request waits for a route


@pytest.fixture
def ordered(installation: Installation) -> Installation:
    """Start two nodes and three empty engines for each of two ranges; one engine of a range checks no fence."""
    start_ordered(installation, "abc")
    return installation


def start_ordered(installation: Installation, letters: str) -> None:
    installation.start_platform()
    installation.start_weight_store(MAX_LOADS)
    for first, end in RANGES:
        for letter in letters:
            name = f"runner-{first}{letter}"
            options = ["--iteration-seconds", "0.01"]
            installation.start_ordered_engine(name, first, end, *options, checks_fence=letter != "c")
    for index in range(2):
        installation.start_node(f"entry-{index}")
    installation.apply_everywhere()
    wait_until(lambda: all(has_loaded(installation, name) for name in list_engines(installation)))


def list_engines(installation: Installation) -> list[str]:
    return [name for name in installation.processes if name.startswith("runner-")]


def has_loaded(installation: Installation, name: str, version: str = "1") -> bool:
    """Tell whether the last part that an engine loaded since its start is of a version."""
    loaded: list[str] = []
    for entry in installation.read_journal(name):
        if entry["event"] == "start":
            loaded.clear()
        elif entry["event"] == "loaded":
            loaded.append(entry["part"])
    return bool(loaded) and f":{version}[" in loaded[-1]


def roll_out(installation: Installation, version: str, node: str) -> None:
    pipeline = installation.declared["pipelines"][0]
    pipeline.update(previous_version=pipeline["version"], version=version)
    assert installation.apply(node).is_success


def find_holder(installation: Installation) -> str:
    """Find the node that took the tenure over last."""
    ordered = {
        node: [line for line in (installation.folder / f"{node}.log").read_text().splitlines() if "took the pl" in line]
        for node in installation.nodes
    }
    return max((lines[-1], node) for node, lines in ordered.items() if lines)[1]


def assert_orders_are_fenced(installation: Installation) -> None:
    for name in list_engines(installation):
        fences = [entry["fence"] for entry in installation.read_journal(name) if entry["event"] == "hold"]
        assert fences
        assert fences == sorted(fences)


def assert_store_was_spared(installation: Installation) -> None:
    loads = installation.read_journal("weights")
    assert [entry["event"] for entry in loads] == ["load"] * len(loads)
    assert max(entry["at_once"] for entry in loads) <= MAX_LOADS


@contextmanager
def keep_asking(installation: Installation, node: str) -> Iterator[list[tuple[str, str]]]:
    """Send one question after the other in the background; yields the list of questions with their answers."""
    answered: list[tuple[str, str]] = []
    is_over = threading.Event()

    def ask() -> None:
        while not is_over.is_set():
            text = f"case {len(answered)}"
            answered.append((text, read_text(installation.chat(text, node=node, max_tokens=4))))

    asking = threading.Thread(target=ask)
    asking.start()
    try:
        yield answered
    finally:
        is_over.set()
        asking.join()


def test_empty_engines_load_within_the_limit(ordered: Installation) -> None:
    assert read_text(ordered.chat(TEXT)) == expect_text(TEXT)
    assert_store_was_spared(ordered)
    assert_orders_are_fenced(ordered)


def test_rollout_without_room_for_two_versions_cuts_nothing(ordered: Installation) -> None:
    node = ordered.nodes[1]
    with ordered.stream(TEXT, max_tokens=150) as stream, keep_asking(ordered, node) as answered:
        stream.read(10)
        slow_loads = f"/control/{SLOW_LAYER_S}"
        ordered.client.post(ordered.url("weights") + slow_loads).raise_for_status()
        roll_out(ordered, "2", ordered.nodes[0])
        assert stream.read() == expect_text(TEXT, max_tokens=150, version="1")
        assert stream.is_whole
        wait_until(lambda: all(has_loaded(ordered, name, "2") for name in list_engines(ordered)))
        asked = len(answered)
        wait_until(lambda: len(answered) > asked + 2)
    for text, answer in answered:
        assert answer in {expect_text(text, max_tokens=4, version=version) for version in "12"}
    assert read_text(ordered.chat(TEXT)) == expect_text(TEXT, version="2")
    assert_store_was_spared(ordered)


def test_version_that_goes_before_the_first_token_is_changed(installation: Installation) -> None:
    """The second stage drops the version after the first stage has run and before the answer reaches the second."""
    installation.start_platform()
    installation.start_weight_store(MAX_LOADS)
    for first, end in RANGES:
        installation.start_ordered_engine(f"runner-{first}", first, end, "--memory-layers", "100")
    for server in installation.declared["servers"]:
        server["memory"] = 100
    installation.start_node("entry")
    installation.apply_everywhere()
    wait_until(lambda: all(has_loaded(installation, f"runner-{first}") for first, _ in RANGES))
    assert read_text(installation.chat(TEXT)) == expect_text(TEXT)
    text = TEXT * 5  # a longer prompt, whose step may take longer
    installation.set_faults("runner-0", late_replies=1, late_seconds=2.5)
    answers: list[str] = []
    asking = threading.Thread(target=lambda: answers.append(read_text(installation.chat(text))))
    asking.start()
    wait_until(lambda: len(list_runs(installation, "runner-0")) > len(list_runs(installation, "runner-6")))
    roll_out(installation, "2", "entry")
    wait_until(lambda: installation.read_journal("runner-6")[-1]["event"] == "hold")
    wait_until(lambda: installation.read_journal("runner-6")[-1].get("parts") == ["ledger:2[6,12)"])
    asking.join()
    assert answers == [expect_text(text, version="2")]


def test_answer_on_the_previous_version_outlives_its_stage(installation: Installation) -> None:
    """The stage crashes and restarts empty while all others have the new version, without capacity for both."""
    ordered = installation
    start_ordered(ordered, "abcd")
    with ordered.stream(TEXT, max_tokens=900) as stream:
        stream.read(5)
        used = stream.route
        roll_out(ordered, "2", ordered.nodes[0])
        wait_until(lambda: all(has_loaded(ordered, name, "2") for name in list_engines(ordered) if name not in used))
        wait_until(lambda: is_emptied(ordered, used[0], "1"))
        ordered.processes[used[0]].kill()
        ordered.start_ordered_engine(used[0], *RANGES[0])
        assert stream.read() == expect_text(TEXT, max_tokens=900, version="1")
        assert stream.is_whole
    journal = ordered.read_journal(used[0])
    restarted = max(index for index, entry in enumerate(journal) if entry["event"] == "start")
    assert any(entry["event"] == "run" and entry["rebuild"] for entry in journal[restarted:])
    wait_until(lambda: all(has_loaded(ordered, name, "2") for name in list_engines(ordered)))
    assert_store_was_spared(ordered)


def is_emptied(installation: Installation, name: str, version: str) -> bool:
    """Tell whether the last order to an engine contains no part of a version."""
    holds = [entry["parts"] for entry in installation.read_journal(name) if entry["event"] == "hold"]
    return not any(f":{version}[" in part for part in holds[-1])


def list_runs(installation: Installation, name: str) -> list[str]:
    return [entry["session"] for entry in installation.read_journal(name) if entry["event"] == "run"]


def test_frozen_holder_that_thaws_orders_nothing(ordered: Installation) -> None:
    """An engine that checks no fence would accept the order that the frozen holder is about to repeat."""
    frozen = find_holder(ordered)
    other = next(node for node in ordered.nodes if node != frozen)
    unchecked = "runner-0c"
    ordered.processes[unchecked].send(signal.SIGSTOP)
    roll_out(ordered, "2", frozen)
    wait_until(lambda: all(has_loaded(ordered, name, "2") for name in list_engines(ordered) if name != unchecked))
    wait_until(lambda: count_orders(ordered, frozen, unchecked) > 1)
    ordered.processes[frozen].send(signal.SIGSTOP)
    ordered.processes[unchecked].send(signal.SIGCONT)
    wait_until(lambda: has_loaded(ordered, unchecked, "2"))
    roll_out(ordered, "3", other)
    wait_until(lambda: all(has_loaded(ordered, name, "3") for name in list_engines(ordered)), timeout=60)
    before = {name: len(ordered.read_journal(name)) for name in list_engines(ordered)}
    ordered.processes[frozen].send(signal.SIGCONT)
    wait_until(lambda: ordered.show_state(frozen)["revision"] == ordered.show_state(other)["revision"])
    time.sleep(1.5)  # three rounds of a placer
    for name in list_engines(ordered):
        assert not [entry for entry in ordered.read_journal(name)[before[name] :] if entry["event"] == "hold"]
    assert_orders_are_fenced(ordered)
    assert_store_was_spared(ordered)


def count_orders(installation: Installation, node: str, server: str) -> int:
    """Count the orders to a server in the log of a node."""
    lines = (installation.folder / f"{node}.log").read_text().splitlines()
    return sum("engine ordered" in line and server in line for line in lines)


def test_planned_stop_of_the_holder_passes_its_part_on(ordered: Installation) -> None:
    holder = find_holder(ordered)
    other = next(node for node in ordered.nodes if node != holder)
    ordered.processes[holder].send(signal.SIGTERM)
    assert ordered.processes[holder].popen.wait(timeout=30) == 0
    roll_out(ordered, "2", other)
    wait_until(lambda: all(has_loaded(ordered, name, "2") for name in list_engines(ordered)))
    assert find_holder(ordered) == other
    assert_orders_are_fenced(ordered)


def test_outage_of_the_store_stops_orders_but_no_answer(ordered: Installation) -> None:
    ordered.set_faults("kv", down=True)
    ordered.processes["runner-0a"].kill()
    ordered.start_ordered_engine("runner-0a", *RANGES[0])
    assert all(read_text(ordered.chat(TEXT, node=node)) == expect_text(TEXT) for node in ordered.nodes)
    ordered.set_faults("kv")
    wait_until(lambda: has_loaded(ordered, "runner-0a"))
    assert_orders_are_fenced(ordered)


def test_rollout_goes_on_beside_a_frozen_engine_that_would_be_the_first(ordered: Installation) -> None:
    """A frozen engine must not block the rollout on all others until its link is found dead some 25 s later.

    The plan empties one engine of a range at a time, as half of the range must keep serving. An order to the frozen
    engine is not answered. While its answer was awaited for 5 s the engine counted as empty, so that no other engine
    could be emptied; then it was the first in the plan again. The log showed "engine ordered" for runner-0a with no
    parts at 7.5, 12.6, 17.7, 22.8, 27.8 and 32.8 s, and none for runner-0b and runner-0c. Therefore an engine that has
    not answered is the last in the plan, and its capacity is not counted on.
    """
    frozen = "runner-0a"
    ordered.processes[frozen].send(signal.SIGSTOP)
    roll_out(ordered, "2", ordered.nodes[0])
    wait_until(lambda: all(has_loaded(ordered, name, "2") for name in list_engines(ordered) if name != frozen))
    ordered.processes[frozen].send(signal.SIGCONT)
    wait_until(lambda: has_loaded(ordered, frozen, "2"))
    assert_orders_are_fenced(ordered)
    assert_store_was_spared(ordered)
