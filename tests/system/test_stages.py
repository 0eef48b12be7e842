"""Answers stay complete and correct while their stages fail."""

from __future__ import annotations

import signal

import pytest

from rig.checks import find_faults
from rig.installation import LAYERS, Installation, Stream, expect_text

TEXT = "Explain the disputed meter reading of March"
TOKENS = 24


def finish(installation: Installation, stream: Stream) -> None:
    """Read to the end; assert that the answer is complete and correct, and that the engines' journals agree."""
    assert stream.read() == expect_text(TEXT, max_tokens=TOKENS)
    assert stream.is_whole
    engines = [name for name in installation.processes if name.startswith("runner")]
    assert find_faults({name: installation.read_journal(name) for name in engines}, LAYERS) == []


@pytest.mark.parametrize("hop", [0, 1, 2])
@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP], ids=["killed", "frozen"])
def test_stage_lost_in_the_middle(small: Installation, hop: int, number: signal.Signals) -> None:
    with small.stream(TEXT) as stream:
        stream.read(5)
        small.processes[stream.route[hop]].send(number)
        finish(small, stream)


def test_two_stages_killed_at_once(small: Installation) -> None:
    with small.stream(TEXT) as stream:
        stream.read(5)
        for server in stream.route[1:]:
            small.processes[server].kill()
        finish(small, stream)


def test_stage_killed_and_its_successor_too(small: Installation) -> None:
    small.start_engine("runner-4c", 4, 8)
    small.apply_everywhere()
    with small.stream(TEXT) as stream:
        stream.read(3)
        first = stream.route[1]
        small.processes[first].kill()
        stream.read(3)
        taking_over = [name for name in ("runner-4a", "runner-4b", "runner-4c") if name != first]
        running = [name for name in taking_over if small.read_journal(name)]
        small.processes[running[0]].kill()
        finish(small, stream)


def test_frozen_stage_thaws_during_the_answer(small: Installation) -> None:
    with small.stream(TEXT) as stream:
        stream.read(4)
        frozen = small.processes[stream.route[1]]
        frozen.send(signal.SIGSTOP)
        stream.read(4)
        frozen.send(signal.SIGCONT)
        finish(small, stream)


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param({"lose_replies": 1}, id="lost"),
        pytest.param({"double_replies": 3}, id="doubled"),
        pytest.param({"late_replies": 1, "late_seconds": 1.5}, id="late"),
        pytest.param({"wrong_ranges": 1}, id="other layers"),
    ],
)
@pytest.mark.parametrize("hop", [0, 2])
def test_replies_go_wrong(small: Installation, faults: dict[str, float], hop: int) -> None:
    with small.stream(TEXT) as stream:
        stream.read(4)
        small.set_faults(stream.route[hop], **faults)
        finish(small, stream)


def test_crossed_replies_never_mix_answers(small: Installation) -> None:
    with (
        small.stream("another caller's letter", max_tokens=200, user="one") as other,
        small.stream(TEXT, user="one") as stream,
    ):
        other.read(3)
        stream.read(3)
        assert other.route == stream.route  # due to the same affinity, so that their replies can be swapped
        for server in stream.route:
            small.set_faults(server, cross_replies=2)
        finish(small, stream)
        crossed = [
            server for server in stream.route if any(e["event"] == "crossed" for e in small.read_journal(server))
        ]
        assert crossed
        assert other.read() == expect_text("another caller's letter", max_tokens=200)


def test_cache_evicted_during_the_answer(installation: Installation) -> None:
    installation.start_platform()
    for first, end in ((0, 6), (6, 12)):
        installation.start_engine(f"runner-{first}", first, end, "--max-sessions", "1")
    installation.start_node("entry-1")
    installation.apply_everywhere()
    with installation.stream(TEXT) as stream:
        stream.read(4)
        assert installation.chat("evict the other session", max_tokens=2).is_success
        finish(installation, stream)


def test_last_server_of_a_range_returns(installation: Installation) -> None:
    installation.start_platform()
    for first, end in ((0, 6), (6, 12)):
        installation.start_engine(f"runner-{first}", first, end)
    installation.start_node("entry-1")
    installation.apply_everywhere()
    with installation.stream(TEXT) as stream:
        stream.read(4)
        installation.processes["runner-6"].kill()
        installation.start_engine("runner-6", 6, 12)
        assert stream.read() == expect_text(TEXT)
        assert stream.is_whole
