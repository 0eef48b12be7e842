"""Operators query the state of the system and change it through the command line."""

from __future__ import annotations

import json

import pytest

from rig.installation import OPERATOR_KEY, Installation
from rig.processes import wait_until
from vaneturn_cli.commands import main
from vaneturn_cli.exits import Exit


@pytest.fixture
def nodes(pair: Installation, monkeypatch: pytest.MonkeyPatch) -> str:
    monkeypatch.setenv("VANETURN_OPERATOR_KEY", OPERATOR_KEY)
    return ",".join(f"127.0.0.1:{pair.ports[node]}" for node in pair.nodes)


def test_operators_query_and_change(pair: Installation, nodes: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pair.stream("a long answer", max_tokens=150) as stream:
        stream.read(3)
        assert main(["--nodes", nodes, "--json", "query", "show sessions"]) == Exit.DONE
        sessions = json.loads(capsys.readouterr().out)
        assert [row["customer"] for row in sessions] == ["osborne-finance"]
        assert main(["--nodes", nodes, "query", f"why session {sessions[0]['session']}"]) == Exit.DONE
        assert "route 1: runner-0" in capsys.readouterr().out
    assert main(["--nodes", nodes, "query", "drain vm runner-4a"]) == Exit.DONE
    wait_until(lambda: pair.show_state("entry-2")["revision"] == 2)
    assert main(["--nodes", nodes, "query", "why vm runner-4a"]) == Exit.DONE
    assert "leaving, says operator" in capsys.readouterr().out
    assert main(["--nodes", nodes, "--json", "query", "show changes where operator = tester"]) == Exit.DONE
    assert json.loads(capsys.readouterr().out)[0]["summary"] == "drain vm runner-4a"
    assert main(["--nodes", nodes, "query", "set priority portal 12"]) == Exit.INVALID_INPUT


def test_ended_request_is_explained(pair: Installation, nodes: str, capsys: pytest.CaptureFixture[str]) -> None:
    request = pair.chat("short", max_tokens=2).headers["Vaneturn-Request"]
    assert main(["--nodes", nodes, "query", f"why refused {request}"]) == Exit.DONE
    assert "completed" in capsys.readouterr().out


def test_unreachable_node_is_named(pair: Installation, nodes: str, capsys: pytest.CaptureFixture[str]) -> None:
    pair.processes["entry-2"].kill()
    assert main(["--nodes", nodes, "query", "show nodes"]) == Exit.DONE
    assert f"no answer: 127.0.0.1:{pair.ports['entry-2']}" in capsys.readouterr().err


def test_unknown_operator_changes_nothing(pair: Installation, nodes: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("VANETURN_OPERATOR_KEY", "not-a-key-of-anyone")
    assert main(["--nodes", nodes, "query", "drain vm runner-4a"]) == Exit.NO_ANSWER
    assert pair.show_state()["revision"] == 1
