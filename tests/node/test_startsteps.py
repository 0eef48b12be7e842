from __future__ import annotations

import logging
import time

import pytest

from vaneturn_node.startsteps import log_start_step


def test_step_states_the_time_since_the_start_of_the_process(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        log_start_step("first")
        time.sleep(0.05)
        log_start_step("second")
    first, second = caplog.records
    assert (first.__dict__["step"], second.__dict__["step"]) == ("first", "second")
    assert first.__dict__["seconds"] >= 0
    assert second.__dict__["seconds"] - first.__dict__["seconds"] >= 0.04
    assert first.__dict__["processor_seconds"] <= first.__dict__["seconds"] + 0.1
