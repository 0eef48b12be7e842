"""The arrival rate of a node counts the requests of the sliding window."""

from __future__ import annotations

from vaneturn_core.traffic.arrivals import WINDOW_S, ArrivalRate


def test_requests_of_the_window_count() -> None:
    now = [100.0]
    rate = ArrivalRate(lambda: now[0])
    for _ in range(5):
        rate.record()
    now[0] += WINDOW_S / 2
    rate.record()
    assert rate.compute() == 6 / WINDOW_S
    now[0] += WINDOW_S / 2 + 0.1
    assert rate.compute() == 1 / WINDOW_S
