"""The rig's judge of requests for rest counts from when a node has the answer, and is as strict as the rule then."""

from __future__ import annotations

import pytest

from rig.directivejudge import DIRECTIVE_DELAY_S, REST_EXTRA_REQUESTS, find_breaches
from standins.platform.directives import Arrival, Directive, DirectiveRecord

REST_S = 3.0


def judge(passed_at: float | None, arrived_at: float) -> list[str]:
    """Judge a rest that a server asked for at 10.0 s, beside too many requests at the same moment."""
    record = DirectiveRecord()
    record.directives.append(Directive(10.0, "i-1", "127.0.1.1", None, REST_S, is_leaving=False, passed_at=passed_at))
    record.arrivals += [Arrival(arrived_at, "i-1", "127.0.1.1")] * (REST_EXTRA_REQUESTS + 1)
    return find_breaches(record)


@pytest.mark.parametrize(
    ("passed_at", "arrived_at", "is_breach"),
    [
        pytest.param(10.0, 10.0 + DIRECTIVE_DELAY_S + 0.1, True, id="passed at once"),
        pytest.param(10.9, 10.8, False, id="still on its way"),
        pytest.param(10.9, 10.9 + DIRECTIVE_DELAY_S - 0.1, False, id="just passed"),
        pytest.param(10.9, 10.9 + DIRECTIVE_DELAY_S + 0.1, True, id="passed late"),
        pytest.param(None, 10.0 + DIRECTIVE_DELAY_S + 0.1, True, id="not known whether it passed"),
        pytest.param(10.9, 10.0 + REST_S + 0.1, False, id="after the rest"),
    ],
)
def test_requests_during_a_rest(passed_at: float | None, arrived_at: float, *, is_breach: bool) -> None:
    assert bool(judge(passed_at, arrived_at)) is is_breach
