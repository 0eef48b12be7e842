"""Tests of the table of late or unserved requests, which is made from log lines of nodes only."""

from __future__ import annotations

import io
import json
import sys
from pathlib import Path
from typing import Any

import pytest

from vaneturn_cli.commands import main
from vaneturn_cli.losses import Limits, Loss, find_cause, find_loss, find_suspect_servers, format_pauses, read_lines
from vaneturn_core.traffic.state import TrafficRequest

LIMITS = Limits(first_event=0.5, pause=0.2)


def make_request(ending: str, **changes: Any) -> TrafficRequest:
    fields = {
        "request": "r-1",
        "route": "letters",
        "customer": "",
        "seconds": 1.0,
        "version": 1,
        "age": 0.1,
        "steps": [],
    }
    return TrafficRequest(ending=ending, **{**fields, **changes})


def make_line(ending: str, second: int = 0, **changes: Any) -> str:
    fields = {name: getattr(make_request(ending, **changes), name) for name in TrafficRequest.__struct_fields__}
    return json.dumps({"time": f"2026-05-13 21:59:{second:02},231", "message": "request ended", **fields}) + "\n"


@pytest.mark.parametrize(
    ("ending", "changes", "loss"),
    [
        ("whole", {}, None),
        ("whole", {"first_event": 0.6}, Loss.FIRST_EVENT),
        ("whole", {"first_event": 0.1, "longest_pause": 0.3}, Loss.PAUSE),
        ("status 200", {}, None),
        ("status 500", {}, Loss.FAILED),
        ("own 502 may_have_run", {}, Loss.FAILED),
        ("own 503 no_chain", {}, Loss.REFUSED),
        ("own 401 unknown_key", {}, None),
        ("own 404 no_route", {}, None),
        ("broken off", {}, Loss.BROKEN_OFF),
        ("client left", {}, Loss.CLIENT_LEFT),
    ],
)
def test_loss_of_a_request(ending: str, changes: dict[str, Any], loss: Loss | None) -> None:
    assert find_loss(make_request(ending, **changes), LIMITS) is loss


def test_cause_omits_servers_and_times() -> None:
    steps = ["1ms over i-1[0,40) i-2[40,80), fullest 0.30", "900ms lost ['i-2']", "903ms detour over ['i-3'] taken"]
    assert find_cause(make_request("whole", steps=steps)) == "lost ['S']; detour over ['S'] taken"
    assert find_cause(make_request("own 503 no_chain", reason="no_chain")) == "no_chain"


def test_lines_are_counted_by_kind_and_cause_ignoring_their_prefix() -> None:
    lines = [
        "  24.0 entry-1 " + make_line("own 503 no_chain", 7, reason="no_chain"),
        make_line("own 503 no_chain", 7, reason="no_chain"),
        make_line("own 503 no_chain", 9, reason="no_chain", route="notes"),
        make_line("whole"),
        '{"message": "server listed", "cause": "request ended"}\n',
        '{"message": "request ended", "time": 3}\n',
        "no JSON at all\n",
    ]
    table = read_lines(lines, LIMITS)
    assert table.requests == 4
    assert table.invalid_lines == 1
    assert table.list_rows() == [("refused", "no_chain", 3, 2, "2026-05-13 21:59:07", 2)]


def test_command_reads_files_or_standard_input(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "node.log"
    path.write_text(make_line("broken off", steps=["5ms answer broken off"]))
    assert main(["losses", str(path)]) == 0
    assert "answer broken off" in capsys.readouterr().out
    monkeypatch.setattr("sys.stdin", io.StringIO(make_line("whole", first_event=0.2)))
    assert main(["--json", "losses", "--first-event", "0.1"]) == 0
    assert json.loads(capsys.readouterr().out)[0][0] == "late first event"


def test_missing_file_is_named(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["losses", str(tmp_path / "gone")]) != 0
    assert "gone" in capsys.readouterr().err


def test_suspect_servers_are_failed_ones_or_first_of_chain() -> None:
    sent = "1ms over i-1[0,40) i-2[40,80), fullest 0.30"
    assert find_suspect_servers(make_request("whole", steps=[sent])) == {"i-1"}
    assert find_suspect_servers(make_request("whole", steps=[sent, "900ms lost ['i-2']", "903ms detour over []"])) == {
        "i-2"
    }
    assert find_suspect_servers(make_request("own 503 no_chain")) == set()


def test_plot_shows_kinds_by_second_and_servers(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    lost = ["1ms over i-1[0,40) i-2[40,80)", "9ms refused with 503 at i-2"]
    lines = [make_line("own 503 not_run", second=3, steps=lost), make_line("whole", second=9, longest_pause=0.5)]
    log = tmp_path / "node.log"
    log.write_text("".join(lines))
    assert main(["losses", "--plot", str(log)]) == 0
    plot = capsys.readouterr().out.partition("by second")[2]
    assert "p long pause, r refused" in plot
    assert "21:59:03" in plot
    assert "21:59:09" in plot
    assert plot.count("r") > 5
    assert "i-2      1 ####" in plot


def test_plot_without_losses_says_so(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    log = tmp_path / "node.log"
    log.write_text(make_line("whole"))
    assert main(["losses", "--plot", str(log)]) == 0
    assert "nothing was late" in capsys.readouterr().out


def test_plot_without_plotext_says_what_to_install(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(sys.modules, "plotext", None)
    log = tmp_path / "node.log"
    log.write_text(make_line("own 503 no_chain"))
    assert main(["losses", "--plot", str(log)]) != 0
    assert "vaneturn-cli[plot]" in capsys.readouterr().err


def test_long_pauses_are_split_into_parts() -> None:
    loss_fields = {
        "longest_pause": 0.24,
        "looked": 0.1,
        "found": 0.16,
        "went_on": 0.165,
        "steps": ["1ms lost ['i-2']"],
    }
    lines = [
        make_line("whole", 0, **loss_fields),
        make_line("whole", longest_pause=0.3, steps=["1ms over i-1[0,80), fullest 0.30"]),
        make_line("whole", 0, **{**loss_fields, "longest_pause": 0.19}),
    ]
    table = read_lines(lines, LIMITS)
    assert format_pauses(table) == (
        "1 long pauses after a loss, medians in seconds: silence 0.100, question 0.060, choice 0.005, going on 0.075;"
        " 1 without a step"
    )


def test_no_parts_are_shown_without_long_pauses() -> None:
    assert format_pauses(read_lines([make_line("whole")], LIMITS)) == "0 long pauses after a loss; 0 without a step"
