"""The epoch of the store, as its responses state it."""

from __future__ import annotations

import pytest

from vaneturn_core.faults import Fault
from vaneturn_node.platform.epochs import read_epoch


@pytest.mark.parametrize(("stated", "epoch"), [([], None), ([b"0"], 0), ([b" 12 "], 12), ([b"9999"], 9999)])
def test_epoch_is_read(stated: list[bytes], epoch: int | None) -> None:
    assert read_epoch([(b"store-era", value) for value in stated]) == epoch


@pytest.mark.parametrize(
    "stated", [[b""], [b"-1"], [b"1.5"], [b"one"], [b"0x1"], [b"10000"], [b"9" * 5000], [b"1", b"1"], [b"\xb2"]]
)
def test_malformed_epoch_is_a_fault(stated: list[bytes]) -> None:
    assert isinstance(read_epoch([(b"store-era", value) for value in stated]), Fault)
