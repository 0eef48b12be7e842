"""A failed test says for how long its own process had no processor, so that such failures are told from faults."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from rig.starvation import StarvationRecord, StarvationWatch, Times

TESTS = Path(__file__).parent
BUSY_PROCESSES = 4
WAIT_S = 0.3  # seconds without a processor that must be found
SAMPLE = """
import time

import pytest

@pytest.fixture
def broken(tmp_path):
    (tmp_path / "node.log").write_text("held up")
    raise TimeoutError

def test_whose_set_up_fails(broken):
    pass

def test_that_fails():
    until = time.monotonic() + 0.3
    while time.monotonic() < until:
        pass
    assert False

def test_that_passes():
    pass
"""


def record(*readings: tuple[float, float, float]) -> StarvationRecord:
    made = StarvationRecord(100.0, Times(7.0, 3.0))
    for now, ran, waited in readings:
        made.add(100.0 + now, Times(7.0 + ran, 3.0 + waited))
    return made


def test_wait_is_found_where_it_began() -> None:
    """A wait is counted when it ends: the readings in between show a thread that seems idle."""
    made = record((0.5, 0.1, 0.0), (0.52, 0.1, 0.0), (0.9, 0.1, 0.0), (1.0, 0.15, 0.4))
    assert [(round(span.start, 2), round(span.end, 2)) for span in made.waits] == [(100.6, 101.0)]
    assert made.describe().startswith("the test's process waited 0.40 s of 1.00 s for a processor, longest 0.40 s; ")
    assert "0.60 to 1.00 s: waited for a processor" in made.list_spans()


def test_own_work_is_told_from_waits() -> None:
    made = record(*((number * 0.02, number * 0.02, 0.0) for number in range(1, 51)), (2.0, 1.2, 0.0))
    assert not made.waits
    assert [round(span.length, 2) for span in made.busy] == [1.0, 0.2]
    assert "waited 0.00 s" in made.describe()
    assert "ran 1.20 s and had no idle time, so that its event loop was held up, for 1.20 s, longest 1.00 s" in (
        made.describe()
    )


def test_short_waits_that_leave_no_idle_time_hold_the_event_loop_up() -> None:
    made = record(*((number * 0.02, number * 0.008, number * 0.012) for number in range(1, 51)))
    assert not made.waits
    assert "waited 0.60 s of 1.00 s for a processor, longest 0.01 s" in made.describe()
    assert "held up, for 1.00 s" in made.describe()


def test_idle_thread_has_no_spans() -> None:
    made = record(*((number * 0.02, number * 0.002, number * 0.001) for number in range(1, 51)))
    assert made.list_spans() == []


def test_gap_between_readings_is_reported() -> None:
    """A process that is stopped is not runnable, so that the scheduler counts no wait."""
    assert "longest gap between readings 3.00 s" in record((0.02, 0.0, 0.0), (3.02, 0.0, 0.0)).describe()


@contextmanager
def share_processor() -> Iterator[None]:
    """Bind this process to one processor, beside busy processes."""
    allowed = os.sched_getaffinity(0)
    os.sched_setaffinity(0, {min(allowed)})
    busy = [subprocess.Popen([sys.executable, "-S", "-c", "while True: pass"]) for _ in range(BUSY_PROCESSES)]
    try:
        yield
    finally:
        os.sched_setaffinity(0, allowed)
        for process in busy:
            process.kill()
            process.wait()


def read_waited() -> float:
    return int(Path("/proc/thread-self/schedstat").read_text().split()[1]) / 1e9


def test_wait_beside_busy_processes_is_recorded() -> None:
    with StarvationWatch() as watch, share_processor():
        waited, until = read_waited(), time.monotonic() + 20.0
        while read_waited() < waited + WAIT_S:
            assert time.monotonic() < until
        summary = watch.describe()[0]
    assert float(summary.removeprefix("the test's process waited ").split()[0]) >= WAIT_S


def run_sample(folder: Path, test: str) -> subprocess.CompletedProcess[str]:
    """Run a test of the sample with a copy of the configuration of these tests."""
    tests = folder / "tests"
    tests.mkdir()
    shutil.copy(TESTS / "conftest.py", tests)
    (tests / "test_sample.py").write_text(SAMPLE)
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", f"tests/test_sample.py::{test}"],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(TESTS)},
        capture_output=True,
        text=True,
        check=False,
    )


def test_failed_test_prints_and_keeps_the_record(tmp_path: Path) -> None:
    run = run_sample(tmp_path, "test_that_fails")
    assert run.returncode == 1
    kept = next((tmp_path / "failed-tests").glob("*/failure.txt")).read_text().splitlines()
    assert next(line for line in run.stdout.splitlines() if line.startswith("the test's process waited")) in kept
    assert "no idle time" in kept[-1]


def test_failed_set_up_keeps_the_logs(tmp_path: Path) -> None:
    """The folder is no argument of the test yet when a fixture that uses it fails."""
    run = run_sample(tmp_path, "test_whose_set_up_fails")
    assert run.returncode == 1
    folder = next((tmp_path / "failed-tests").iterdir())
    assert (folder / "node.log").read_text() == "held up"
    assert "the test's process waited" in (folder / "failure.txt").read_text()


def test_passed_test_keeps_nothing(tmp_path: Path) -> None:
    assert run_sample(tmp_path, "test_that_passes").returncode == 0
    assert not (tmp_path / "failed-tests").exists()
