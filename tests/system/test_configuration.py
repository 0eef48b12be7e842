"""An accepted configuration is in force on all nodes within seconds and never reverts."""

from __future__ import annotations

import signal
import time

import httpx
import pytest

from rig.installation import Installation
from rig.processes import wait_until

IN_FORCE_TIMEOUT_S = 3.0
KEY = "vaneturn/configuration"


@pytest.fixture
def trio(installation: Installation) -> Installation:
    installation.start_platform()
    for index in range(3):
        installation.start_node(f"entry-{index}")
    installation.apply_everywhere()
    wait_until(lambda: all(count_members(installation, node) == 3 for node in installation.nodes))
    return installation


def count_members(installation: Installation, node: str) -> int:
    text = installation.client.get(installation.url(node) + "/metrics").text
    return int(float(next(line for line in text.splitlines() if line.startswith("vaneturn_members ")).split()[1]))


def list_revisions(installation: Installation) -> list[int]:
    return [installation.show_state(node)["revision"] for node in installation.nodes]


def change(installation: Installation, name: str, node: str | None = None) -> httpx.Response:
    installation.declared["classes"].append({"name": name, "priority": 1})
    return installation.apply(node)


def read_calls(installation: Installation) -> dict[str, int]:
    calls: dict[str, int] = installation.client.get(installation.url("kv") + "/control/calls").json()
    return calls


def test_change_reaches_every_node_in_time(trio: Installation) -> None:
    assert change(trio, "late", "entry-2").is_success
    wait_until(lambda: list_revisions(trio) == [2, 2, 2], timeout=IN_FORCE_TIMEOUT_S)


def test_accepted_change_spreads_while_the_store_is_down(trio: Installation) -> None:
    trio.processes["entry-1"].send(signal.SIGSTOP)
    assert change(trio, "missed").is_success
    trio.set_faults("kv", down=True)
    trio.processes["entry-1"].send(signal.SIGCONT)
    wait_until(lambda: list_revisions(trio) == [2, 2, 2], timeout=IN_FORCE_TIMEOUT_S + 2)


def test_change_during_an_outage_is_not_accepted_and_not_made(trio: Installation) -> None:
    trio.set_faults("kv", down=True)
    refused = change(trio, "during")
    assert refused.json()["result"] == "not_accepted"
    trio.set_faults("kv")
    time.sleep(0.5)
    assert list_revisions(trio) == [1, 1, 1]


def test_lost_answer_of_a_write_is_settled(trio: Installation) -> None:
    trio.set_faults("kv", lose_write_answers=1)
    answer = change(trio, "lost-answer")
    assert answer.json()["result"] == "applied"
    wait_until(lambda: list_revisions(trio) == [2, 2, 2], timeout=IN_FORCE_TIMEOUT_S)


def test_change_id_tells_whether_it_took_effect(trio: Installation) -> None:
    based_on = trio.show_state()["revision"]
    trio.declared["classes"].append({"name": "first", "priority": 1})
    assert trio.propose(based_on, change="change-0001").is_success
    again = trio.propose(based_on, node="entry-1", change="change-0001")
    assert again.json()["result"] == "applied"
    assert again.json()["change"]["revision"] == 2
    wait_until(lambda: list_revisions(trio) == [2, 2, 2], timeout=IN_FORCE_TIMEOUT_S)


def test_racing_operators_have_one_winner_that_the_loser_is_told(trio: Installation) -> None:
    based_on = trio.show_state()["revision"]
    won = trio.propose(based_on, node="entry-0", change="change-won")
    lost = trio.propose(based_on, node="entry-1", change="change-lost")
    assert won.json()["result"] == "applied"
    assert lost.json()["result"] == "overtaken"
    assert lost.json()["change"]["id"] == "change-won"


def test_store_restored_to_an_older_state_is_put_right(trio: Installation) -> None:
    assert change(trio, "second").is_success
    assert change(trio, "third").is_success
    wait_until(lambda: list_revisions(trio) == [3, 3, 3], timeout=IN_FORCE_TIMEOUT_S)
    trio.client.post(trio.url("kv") + f"/control/restore/{KEY}", params={"steps": 2}).raise_for_status()

    def is_right() -> bool:
        return bool(trio.client.get(trio.url("kv") + f"/v1/kv/{KEY}").json()["revision"] == 3)

    wait_until(is_right)
    assert list_revisions(trio) == [3, 3, 3]


def test_node_frozen_across_changes_catches_up(trio: Installation) -> None:
    trio.processes["entry-2"].send(signal.SIGSTOP)
    for name in ("one", "two", "three"):
        assert change(trio, name).is_success
    trio.processes["entry-2"].send(signal.SIGCONT)
    wait_until(lambda: list_revisions(trio) == [4, 4, 4], timeout=IN_FORCE_TIMEOUT_S + 2)


def test_node_started_during_an_outage_gets_it_from_peers(trio: Installation) -> None:
    trio.set_faults("kv", down=True)
    trio.start_node("entry-3")
    trio.wait_started()
    wait_until(lambda: trio.show_state("entry-3")["revision"] == 1)


def test_faulty_declarations_change_nothing(trio: Installation) -> None:
    trio.declared["customers"][0]["work_class"] = "none"
    answer = trio.apply()
    assert answer.json()["result"] == "rejected"
    assert "$.customers[0].work_class" in answer.json()["faults"][0]
    assert list_revisions(trio) == [1, 1, 1]
