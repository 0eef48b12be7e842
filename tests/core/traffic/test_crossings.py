"""As many requests may cross halls as the inter-hall links carry, no more and no fewer."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from vaneturn_core.traffic.crossings import MAX_LINK_SHARE, compute_crossing_share


@given(st.floats(0, 100), st.integers(1, 400), st.floats(0, 1))
def test_requests_that_may_cross_fit_the_pipes(rate: float, nodes: int, link_time_s: float) -> None:
    share = compute_crossing_share(rate, nodes, link_time_s)
    assert 0 < share <= 1
    assert share * rate * nodes * link_time_s <= MAX_LINK_SHARE * 1.000001


@pytest.mark.parametrize(("rate", "nodes"), [(0.0, 8), (1.0, 8)])
def test_all_may_cross_while_the_pipes_have_time(rate: float, nodes: int) -> None:
    assert compute_crossing_share(rate, nodes, 0.06) == 1.0
