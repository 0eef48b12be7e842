"""A short randomised run; `make traffic-soak` runs longer ones under any seeds."""

from __future__ import annotations

from pathlib import Path

import pytest

from rig.trafficsoak import run_traffic_soak

pytestmark = pytest.mark.anyio

SECONDS = 10


@pytest.mark.parametrize("seed", [1])
async def test_randomised_faults_break_no_promise(tmp_path: Path, seed: int) -> None:
    findings = await run_traffic_soak(tmp_path, SECONDS, seed)
    assert findings.faults == []
    assert findings.counts["letter 200"]
