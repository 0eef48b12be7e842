"""Many records of one message are limited and counted, and do not affect other messages."""

from __future__ import annotations

import logging
import os

from vaneturn_node.logs import MAX_RECORDS_PER_SECOND, DroppingHandler, FloodFilter


def make_record(message: str, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord("test", level, __file__, 1, message, (), None)


def test_flood_is_suppressed_and_counted() -> None:
    now = [0.0]
    flood = FloodFilter(lambda: now[0])
    written = sum(flood.filter(make_record("request ended")) for _ in range(10 * MAX_RECORDS_PER_SECOND))
    assert written == MAX_RECORDS_PER_SECOND
    assert flood.filter(make_record("configuration in force"))
    now[0] = 1.0
    next_record = make_record("request ended")
    assert flood.filter(next_record)
    assert next_record.__dict__["held_back"] == 9 * MAX_RECORDS_PER_SECOND


def test_warnings_are_never_suppressed() -> None:
    flood = FloodFilter(lambda: 0.0)
    assert all(flood.filter(make_record("lost", logging.WARNING)) for _ in range(3 * MAX_RECORDS_PER_SECOND))


def test_stalled_reader_blocks_nothing_and_gets_the_dropped_count() -> None:
    read, write = os.pipe()
    handler = DroppingHandler(write)
    record = logging.LogRecord("n", logging.INFO, "p", 1, "x" * 1000, (), None)
    for _ in range(200):  # more than the buffer of a pipe
        handler.emit(record)
    os.read(read, 1 << 20)
    last = logging.LogRecord("n", logging.INFO, "p", 1, "last", (), None)
    handler.emit(last)
    assert os.read(read, 1 << 20) == b"last\n"
    assert getattr(last, "dropped", 0) > 100
    os.close(read)
    os.close(write)
