"""A short randomised run; `make traffic-soak` runs longer ones under any seeds."""

from __future__ import annotations

from pathlib import Path

import pytest

from rig.deadlysoak import DeadlySoak
from rig.trafficsoak import run_traffic_soak

pytestmark = pytest.mark.anyio

SECONDS = 10


@pytest.mark.parametrize("seed", [1])
async def test_randomised_faults_break_no_promise(tmp_path: Path, seed: int) -> None:
    findings = await run_traffic_soak(tmp_path, SECONDS, seed)
    assert findings.faults == []
    assert findings.counts["letter 200"]


@pytest.mark.parametrize(
    ("seed", "seconds"),
    [
        (1, SECONDS),
        (5001, 15),  # copies of a popular request were on both servers that ended within 0.2 s, and all were refused
    ],
)
async def test_requests_that_end_servers_beside_faults_break_no_promise(
    tmp_path: Path, seed: int, seconds: float
) -> None:
    findings = await run_traffic_soak(tmp_path, seconds, seed, DeadlySoak)
    assert findings.faults == []
    assert findings.counts["letter 200"]
