"""Nodes discover each other, detect lost members and accept members that return."""

from __future__ import annotations

import signal

import pytest

from rig.installation import Installation
from rig.measuring import read_metric
from rig.processes import wait_until


@pytest.fixture
def trio(installation: Installation) -> Installation:
    installation.start_platform()
    for index in range(3):
        installation.start_node(f"entry-{index}", seeds=[])  # discovery through the key-value service only
    installation.wait_started()
    wait_until(lambda: count_members(installation, installation.nodes) == {3})
    return installation


def count_members(installation: Installation, nodes: list[str]) -> set[int]:
    return {int(read_metric(installation.url(node), "vaneturn_members")) for node in nodes}


def test_killed_node_is_noticed(trio: Installation) -> None:
    trio.processes["entry-2"].kill()
    wait_until(lambda: count_members(trio, ["entry-0", "entry-1"]) == {2})


def test_stopping_node_announces_its_stop(trio: Installation) -> None:
    trio.processes["entry-2"].send(signal.SIGTERM)
    assert trio.processes["entry-2"].popen.wait(timeout=30) == 0
    wait_until(lambda: count_members(trio, ["entry-0", "entry-1"]) == {2})
    for node in ("entry-0", "entry-1"):
        assert "does not answer" not in (trio.folder / f"{node}.log").read_text()


def test_frozen_node_is_removed_and_accepted_again(trio: Installation) -> None:
    trio.processes["entry-2"].send(signal.SIGSTOP)
    wait_until(lambda: count_members(trio, ["entry-0", "entry-1"]) == {2})
    trio.processes["entry-2"].send(signal.SIGCONT)
    wait_until(lambda: count_members(trio, trio.nodes) == {3})


def test_messages_under_another_key_are_ignored(trio: Installation) -> None:
    trio.start_node("entry-3", cluster_key="the-key-of-another-installation")
    trio.wait_started()
    wait_until(lambda: read_metric(trio.url("entry-0"), "vaneturn_dropped_replies_total") > 0)
    assert count_members(trio, ["entry-0", "entry-1", "entry-2"]) == {3}
    assert count_members(trio, ["entry-3"]) == {1}
