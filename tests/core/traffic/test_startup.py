from __future__ import annotations

import pytest

from vaneturn_core.traffic.startup import CLIENT_PATIENCE_S, FIRST_EVENT_TIME_S, WAIT_SHARE, compute_first_wait

LONGEST = CLIENT_PATIENCE_S - FIRST_EVENT_TIME_S


@pytest.mark.parametrize(
    ("deadline", "waited", "is_read", "wait"),
    [
        pytest.param(20.0, 0.0, False, LONGEST, id="just come"),
        pytest.param(20.0, 0.4, False, LONGEST - 0.4, id="under way"),
        pytest.param(20.0, LONGEST + 0.1, False, 0.0, id="takes too long"),
        pytest.param(0.6, 0.1, False, WAIT_SHARE * 0.6 - 0.1, id="short deadline"),
        pytest.param(0.6, 0.5, False, 0.0, id="short deadline over"),
        pytest.param(None, 0.0, False, LONGEST, id="no deadline"),
        pytest.param(20.0, 0.1, True, 0.0, id="ended"),
    ],
)
def test_wait_lasts_for_what_the_client_bears(
    deadline: float | None,
    waited: float,
    is_read: bool,  # noqa: FBT001 # a case
    wait: float,
) -> None:
    assert compute_first_wait(deadline, waited, is_read=is_read) == pytest.approx(wait)
