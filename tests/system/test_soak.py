"""A short randomised run; `make soak` runs longer ones with any seed."""

from __future__ import annotations

from pathlib import Path

from rig.soak import run_soak

DURATION_S = 12
SEED = 20


def test_short_randomised_run_breaks_no_promise(tmp_path: Path) -> None:
    findings = run_soak(tmp_path, DURATION_S, SEED).findings
    assert findings.faults == []
    assert findings.counts["chat: whole"]
