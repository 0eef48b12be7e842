"""A flood of one message does not hide the others and is counted."""

from __future__ import annotations

import logging

from vaneturn_node.logs import MAX_PER_SECOND, FloodFilter


def make_record(message: str, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord("test", level, __file__, 1, message, (), None)


def test_flood_is_held_back_and_counted() -> None:
    now = [0.0]
    flood = FloodFilter(lambda: now[0])
    written = sum(flood.filter(make_record("request ended")) for _ in range(10 * MAX_PER_SECOND))
    assert written == MAX_PER_SECOND
    assert flood.filter(make_record("configuration in force"))
    now[0] = 1.0
    next_record = make_record("request ended")
    assert flood.filter(next_record)
    assert next_record.__dict__["held_back"] == 9 * MAX_PER_SECOND


def test_warnings_are_never_held_back() -> None:
    flood = FloodFilter(lambda: 0.0)
    assert all(flood.filter(make_record("lost", logging.WARNING)) for _ in range(3 * MAX_PER_SECOND))
