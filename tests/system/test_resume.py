"""A streamed answer resumes at another node after its node was lost, without duplicated or missing text."""

from __future__ import annotations

import signal

import httpx
import pytest

from rig.checks import find_faults
from rig.installation import LAYERS, Installation, Stream, expect_text
from rig.processes import wait_until

TEXT = "Draft the payment plan of household 31"
TOKENS = 80


def begin_and_signal_node(installation: Installation, number: signal.Signals = signal.SIGKILL) -> Stream:
    """Begin an answer at the first node and stop that node in the middle."""
    with installation.stream(TEXT, max_tokens=TOKENS) as stream:
        stream.read(10)
        installation.processes["entry-1"].send(number)
        if number is signal.SIGKILL:
            with pytest.raises(httpx.TransportError):
                stream.read()
        return stream


def resume_answer(installation: Installation, stream: Stream, text: str = TEXT, **fields: object) -> Stream:
    with installation.stream(text, node="entry-2", resume=stream, max_tokens=TOKENS, **fields) as resumed:
        resumed.read()
        return resumed


def test_answer_resumes_at_another_node(pair: Installation) -> None:
    resumed = resume_answer(pair, begin_and_signal_node(pair))
    assert resumed.is_whole
    assert resumed.text == expect_text(TEXT, max_tokens=TOKENS)
    journals = {name: pair.read_journal(name) for name in pair.processes if name.startswith("runner")}
    assert find_faults(journals, LAYERS) == []
    assert not any(entry.get("rebuild") for journal in journals.values() for entry in journal)


def test_answer_resumes_after_a_stage_is_lost_too(pair: Installation) -> None:
    stream = begin_and_signal_node(pair)
    pair.processes[stream.route[1]].kill()
    resumed = resume_answer(pair, stream)
    assert resumed.is_whole
    assert resumed.text == expect_text(TEXT, max_tokens=TOKENS)


def test_node_resumed_after_freeze_does_not_disturb_its_successor(pair: Installation) -> None:
    with pair.stream(TEXT, max_tokens=TOKENS) as stream:
        stream.read(10)
        pair.processes["entry-1"].send(signal.SIGSTOP)
        with pair.stream(TEXT, node="entry-2", resume=stream, max_tokens=TOKENS) as resumed:
            resumed.read(10)
            pair.processes["entry-1"].send(signal.SIGCONT)
            resumed.read()
        assert resumed.is_whole
        assert resumed.text == expect_text(TEXT, max_tokens=TOKENS)
        stream.read()
        assert expect_text(TEXT, max_tokens=TOKENS).startswith(stream.text)
        assert not stream.is_whole
        assert stream.error == "superseded"


def test_resumed_answer_is_not_refused_when_the_pipeline_is_full(pair: Installation) -> None:
    pair.declared["pipelines"][0]["token_time"] = 0.000001  # capacity for two answers at a time
    pair.declared["classes"][0]["max_wait"] = 0
    pair.apply_everywhere()
    stream = begin_and_signal_node(pair)
    with (
        pair.stream("first", node="entry-2", max_tokens=TOKENS) as first,
        pair.stream("second", node="entry-2", max_tokens=TOKENS) as second,
    ):
        assert pair.chat("third", node="entry-2").status_code == httpx.codes.SERVICE_UNAVAILABLE
        assert resume_answer(pair, stream).text == expect_text(TEXT, max_tokens=TOKENS)
        assert first.read() == expect_text("first", max_tokens=TOKENS)
        assert second.read() == expect_text("second", max_tokens=TOKENS)


def test_lost_end_mark_is_sent_again(pair: Installation) -> None:
    with pair.stream(TEXT, max_tokens=5) as stream:
        stream.read(5)
        with pair.stream(TEXT, node="entry-2", resume=stream, max_tokens=5) as resumed:
            assert resumed.read() == expect_text(TEXT, max_tokens=5)
            assert resumed.is_whole


def test_id_of_another_request_is_refused(pair: Installation) -> None:
    stream = begin_and_signal_node(pair)
    refused = resume_answer(pair, stream, text="another prompt")
    assert refused.response.status_code == httpx.codes.CONFLICT


def test_answer_can_be_resumed_twice(pair: Installation) -> None:
    stream = begin_and_signal_node(pair)
    with pair.stream(TEXT, node="entry-2", resume=stream, max_tokens=TOKENS) as second:
        second.read(10)
        pair.processes["entry-2"].kill()
        with pytest.raises(httpx.TransportError):
            second.read()
    pair.start_node("entry-1")
    pair.wait_started()
    wait_until(lambda: pair.show_state("entry-1")["revision"] > 0)
    with pair.stream(TEXT, node="entry-1", resume=second, max_tokens=TOKENS) as third:
        assert third.read() == expect_text(TEXT, max_tokens=TOKENS)
        assert third.is_whole
