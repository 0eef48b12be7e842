"""Only evidence from the exchange itself says that a request has not run."""

from __future__ import annotations

import ast
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from vaneturn_core.identifiers import RequestId
from vaneturn_core.traffic.directives import ServerDirectives
from vaneturn_node.http1.linkerror import LinkError
from vaneturn_node.platform.headers import AnswerFacts
from vaneturn_node.traffic.serving.notrun import judge_lost, judge_refusal
from vaneturn_node.traffic.serving.outcomes import MayHaveRun, NotRun
from vaneturn_node.traffic.serving.sends import Evidence, Send

TRAFFIC = Path(__file__).parents[4] / "packages/node/src/vaneturn_node/traffic"
REQUEST = RequestId("r-1")


def make_send(*, was_sent: bool) -> Send:
    link: Any = SimpleNamespace(was_sent=was_sent)
    return Send("i-1", 0.0, link, connection=1, exchange=1)


def make_facts(request: str | None) -> AnswerFacts:
    return AnswerFacts(
        id=RequestId(request) if request is not None else None, status=503, was_refused=True, is_wrong_server=False,
        is_sealed=False, faulty=None, load=None, directives=ServerDirectives(),
    )  # fmt: skip


@pytest.mark.parametrize("claims_sent", [True, False])
def test_request_of_which_a_byte_was_sent_may_have_run_whatever_its_error_says(*, claims_sent: bool) -> None:
    send = make_send(was_sent=True)
    assert judge_lost(send, LinkError("lost", was_sent=claims_sent)) == MayHaveRun("lost")
    assert send.evidence is None


@pytest.mark.parametrize("send", [None, make_send(was_sent=False)], ids=["no connection", "nothing sent"])
def test_request_of_which_nothing_was_sent_has_not_run(send: Send | None) -> None:
    outcome = judge_lost(send, LinkError("refused", was_sent=False))
    assert isinstance(outcome, NotRun)
    assert outcome.evidence is Evidence.NOT_SENT


@pytest.mark.parametrize("request_id", [None, "r-2"], ids=["none", "another"])
def test_refusal_that_does_not_name_the_request_is_not_its_refusal(request_id: str | None) -> None:
    send = make_send(was_sent=True)
    assert isinstance(judge_refusal(send, make_facts(request_id), REQUEST, "refused"), MayHaveRun)
    assert send.evidence is None


def test_refusal_that_names_the_request_says_that_it_has_not_run() -> None:
    send = make_send(was_sent=True)
    assert isinstance(judge_refusal(send, make_facts("r-1"), REQUEST, "refused"), NotRun)
    assert send.evidence is Evidence.REFUSED


def test_no_other_module_says_that_a_request_has_not_run() -> None:
    """Fourteen places in seven modules said so, each from other facts."""
    makers = {
        path.name
        for path in TRAFFIC.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "NotRun"
    }
    assert makers == {"notrun.py"}
