"""Directives in servers' responses: valid ones are read; invalid ones are left out and reported by field."""

from __future__ import annotations

import pytest

from vaneturn_core.traffic.directives import ServerDirectives
from vaneturn_node.http1.messages import MAX_REST_S
from vaneturn_node.platform.directives import read_directives


def test_directives_are_read() -> None:
    headers = [(b"server-limit", b"2.2"), (b"retry-after", b"3"), (b"server-leaving", b"1")]
    assert read_directives(503, headers) == ServerDirectives(2.2, rest=3.0, is_leaving=True)


def test_retry_after_is_read_only_where_a_request_was_rejected() -> None:
    assert read_directives(200, [(b"retry-after", b"3")]) == ServerDirectives()
    assert read_directives(429, [(b"retry-after", b"0.25")]).rest == 0.25


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"0", b"0.0", b"nan", b"inf", b"1e3", b"9" * 12, b"9" * 400, b"2,2", b"+2", "٣".encode()]
)
def test_invalid_rate_limit_is_rejected(value: bytes) -> None:
    directives = read_directives(200, [(b"server-limit", value)])
    assert directives.rate_limit is None
    assert [fault.path for fault in directives.faults] == ["Server-Limit"]


def test_repeated_rate_limit_is_rejected() -> None:
    directives = read_directives(200, [(b"server-limit", b"2"), (b"server-limit", b"3")])
    assert directives.rate_limit is None
    assert directives.faults


@pytest.mark.parametrize("value", [b"Wed, 21 Oct 2026 07:28:00 GMT", b"-3", b"soon", b"1e9", b""])
def test_invalid_rest_is_rejected(value: bytes) -> None:
    directives = read_directives(503, [(b"retry-after", value)])
    assert directives.rest is None
    assert [fault.path for fault in directives.faults] == ["Retry-After"]


def test_endless_rest_is_bounded_and_reported() -> None:
    directives = read_directives(503, [(b"retry-after", b"999999999")])
    assert directives.rest == MAX_REST_S
    assert directives.faults


@pytest.mark.parametrize("values", [[b"0"], [b"yes"], [b"1", b"1"]])
def test_leaving_is_announced_only_by_a_single_one(values: list[bytes]) -> None:
    directives = read_directives(200, [(b"server-leaving", value) for value in values])
    assert not directives.is_leaving
    assert [fault.path for fault in directives.faults] == ["Server-Leaving"]
