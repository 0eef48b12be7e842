"""Differences of long values: applying one gives the original value or an error."""

from __future__ import annotations

import json
import random
import zlib
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from vaneturn_node.traffic.sharing.difference import (
    MAX_VALUE_BYTES,
    apply_difference,
    compute_difference,
    compute_digest,
    pack,
    unpack,
)

ROUTES = 2130
TEXTS = st.lists(st.sampled_from([b"}", b"{", b"}}", b"a", b'{"a": 1}', b""]), max_size=40).map(b"".join)


def make_value(**changed: Any) -> bytes:
    """Make a configuration with as many routes as operators use."""
    texts = random.Random(1)
    routes = [
        {
            "name": texts.randbytes(4).hex(),
            "path_prefix": f"/{texts.randbytes(5).hex()}/",
            "timeout_ms": 1500,
            "x": "-" * 60,
        }
        for _ in range(ROUTES)
    ]
    routes[ROUTES // 2].update(changed)
    return json.dumps({"version": len(changed), "routes": routes}).encode()


@given(TEXTS, TEXTS)
def test_value_comes_out_of_its_difference(base: bytes, value: bytes) -> None:
    assert apply_difference(base, compute_difference(base, value), compute_digest(value)) == value


def test_difference_of_one_time_out_is_short() -> None:
    base, value = make_value(), make_value(timeout_ms=1400)
    difference = compute_difference(base, value)
    assert len(difference) < 500 < len(pack(value)) // 20
    assert apply_difference(base, difference, compute_digest(value)) == value


@given(
    st.binary(max_size=60) | st.lists(st.tuples(st.integers(), st.integers()) | st.binary()).map(repr).map(str.encode)
)
def test_difference_that_is_none_is_not_taken(data: bytes) -> None:
    for difference in (data, pack(data)):
        with pytest.raises(ValueError, match=r"."):
            apply_difference(b"a}b}c", difference, b"12345678")


@pytest.mark.parametrize(
    "steps",
    [[(-1, 1)], [(0, 0)], [(0, 4)], [(3, 1)], [(1, -1)], [(0, 3)] * MAX_VALUE_BYTES],
    ids=["before", "none", "after", "behind", "backwards", "too long"],
)
def test_difference_from_another_base_is_not_taken(steps: list[tuple[int, int]]) -> None:
    with pytest.raises(ValueError, match=r"base|exceeds"):
        apply_difference(b"a}b}c", pack(msgspec.msgpack.encode(steps)), b"12345678")


def test_other_value_than_was_meant_is_not_taken() -> None:
    difference = compute_difference(b"a}b}c", b"a}c")
    with pytest.raises(ValueError, match="does not match its digest"):
        apply_difference(b"a}b}d", difference, compute_digest(b"a}c"))


def test_too_long_value_is_not_unpacked() -> None:
    with pytest.raises(ValueError, match="exceeds"):
        unpack(zlib.compress(b"x" * (MAX_VALUE_BYTES + 1)))
