"""API keys and configurations: changes apply soon and for good; keys are refused if the store cannot confirm them."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest

from rig.traffic import Traffic, list_ids, open_traffic, wait_for
from standins.platform.operator import KEY, configure, make_configuration
from standins.platform.store import Mode

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        pytest.param("/none/1", {}, 404, id="no route"),
        pytest.param("/once/1", {"Host": "other.example"}, 404, id="other host"),
        pytest.param("/once/1", {"Authorization": ""}, 401, id="no key"),
        pytest.param("/once/1", {"Authorization": "Token wrong"}, 401, id="unknown key"),
        pytest.param("/open/1", {"Authorization": ""}, 200, id="public"),
    ],
)
async def test_who_may_ask_what(traffic: Traffic, path: str, headers: dict[str, str], status: int) -> None:
    await traffic.add_desk()
    assert (await traffic.ask(path, "GET", 0, **headers)).status_code == status


async def test_customer_cannot_be_claimed_by_a_header(traffic: Traffic) -> None:
    await traffic.add_desk()
    await traffic.ask("/once/1", X_Tenant="somebody")
    await traffic.ask("/open/1", "GET", X_Tenant="somebody", Authorization="")
    assert [run.headers.get("x-tenant") for run in traffic.fleet.runs] == ["broker", None]


async def test_revoked_key_is_refused(traffic: Traffic) -> None:
    await traffic.add_desk()
    assert (await traffic.ask("/once/1")).status_code == 200
    configure(traffic.fleet.store, make_configuration(2, tenants=[{"name": "broker", "api_keys": []}]))
    await anyio.sleep(0.3)
    assert (await traffic.ask("/once/2")).status_code == 401


@pytest.mark.parametrize("mode", [Mode.BUSY, Mode.RESET, Mode.SILENT])
async def test_keys_close_when_the_store_is_away_and_public_routes_do_not(tmp_path: Path, mode: Mode) -> None:
    async with open_traffic(tmp_path, keys_valid_ms=3500) as traffic:
        await traffic.add_desk()
        traffic.fleet.store.set_mode(mode)
        await anyio.sleep(3.5)
        refused = await traffic.ask("/once/1")
        assert refused.status_code == 503
        assert float(refused.headers["retry-after"]) > 0
        assert refused.headers["connection"] == "close"
        assert not traffic.fleet.runs
        assert (await traffic.ask("/open/1", "GET")).status_code == 200
        assert not await traffic.nodes[0].is_ready(traffic.client)
        traffic.fleet.store.set_mode(Mode.HEALTHY)
        await wait_for(lambda: any(line["message"] == "store regained" for line in traffic.nodes[0].read_log()[3:]))
        await anyio.sleep(0.5)
        assert (await traffic.ask("/once/2")).status_code == 200


async def test_forgotten_history_loses_no_change(traffic: Traffic) -> None:
    desk = await traffic.add_desk()
    store = traffic.fleet.store
    store.events.clear()
    desk.state = "draining"
    desk.announce()
    configure(store, make_configuration(9, tenants=[]))
    store.compact()
    await anyio.sleep(0.5)
    assert (await traffic.ask("/once/1")).status_code == 401
    assert (await traffic.ask("/open/1", "GET")).status_code == 503


async def test_server_entry_that_lapses_in_an_outage_stays_usable(traffic: Traffic) -> None:
    desk = await traffic.add_desk()
    store = traffic.fleet.store
    store.set_mode(Mode.RESET)
    await anyio.sleep(0.5)
    store.remove(f"servers/{desk.id}")
    store.set_mode(Mode.HEALTHY)
    await anyio.sleep(0.6)
    assert (await traffic.ask("/once/1")).status_code == 200
    await anyio.sleep(2.5)
    assert (await traffic.ask("/once/2")).status_code == 503  # the entry was not restored in time


async def test_configuration_that_is_not_understood_leaves_the_last_in_force(traffic: Traffic) -> None:
    await traffic.add_desk()
    traffic.fleet.store.put("op/config", b'{"version": "three"}')
    await anyio.sleep(0.3)
    assert (await traffic.ask("/once/1")).status_code == 200
    assert any(line["message"] == "configuration not understood" for line in traffic.nodes[0].read_log())


@pytest.mark.parametrize("mode", [Mode.BUSY, Mode.RESET, Mode.SILENT])
async def test_revoked_key_names_no_customer_on_public_routes_when_the_store_is_away(
    tmp_path: Path, mode: Mode
) -> None:
    """A node that could not read the new configuration named the customer of a revoked key until the outage ended."""
    async with open_traffic(tmp_path, keys_valid_ms=3500) as traffic:
        await traffic.add_desk()
        assert (await traffic.ask("/open/1", "GET")).status_code == 200
        traffic.fleet.store.set_mode(mode)
        configure(traffic.fleet.store, make_configuration(2, tenants=[{"name": "broker", "api_keys": []}]))
        await anyio.sleep(3.5)
        assert (await traffic.ask("/open/2", "GET", X_Request_Id="later")).status_code == 200
        assert [run.headers.get("x-tenant") for run in traffic.fleet.runs] == ["broker", None]
        logged = await traffic.nodes[0].wait_for_log("later")
        assert logged["customer"] == ""
        assert any("sent without its customer" in step for step in logged["steps"])


async def test_key_that_the_store_confirms_again_names_its_customer_on_public_routes(tmp_path: Path) -> None:
    async with open_traffic(tmp_path, keys_valid_ms=3500) as traffic:
        await traffic.add_desk()
        traffic.fleet.store.set_mode(Mode.BUSY)
        await anyio.sleep(3.5)
        traffic.fleet.store.set_mode(Mode.HEALTHY)
        await wait_for(lambda: any(line["message"] == "store regained" for line in traffic.nodes[0].read_log()[3:]))
        await anyio.sleep(0.5)
        assert (await traffic.ask("/open/1", "GET")).status_code == 200
        assert [run.headers.get("x-tenant") for run in traffic.fleet.runs] == ["broker"]


@pytest.mark.parametrize(
    "tenants",
    [
        pytest.param([{"name": "broker", "api_keys": []}], id="revoked"),
        pytest.param([{"name": "broker", "api_keys": []}, {"name": "other", "api_keys": [KEY]}], id="reassigned"),
    ],
)
async def test_moved_stream_of_a_public_route_does_not_name_the_former_customer_of_its_key(
    traffic: Traffic, tenants: list[dict[str, object]]
) -> None:
    """Each further send of a request named the customer that was found for it at its arrival."""
    store = traffic.fleet.store
    letter = {**make_configuration(1)["routes"][0], "public": True}
    configure(store, make_configuration(2, routes=[letter]))
    await traffic.add_chains()
    traffic.fleet.answer_tokens, traffic.fleet.token_time = 60, 0.05

    async def revoke_key_and_crash_server() -> None:
        await wait_for(lambda: any(len(run.tokens) > 2 for run in traffic.fleet.runs))
        configure(store, make_configuration(3, routes=[letter], tenants=tenants))
        await anyio.sleep(0.5)
        await traffic.fleet.servers[traffic.fleet.runs[0].chains[0][0].address].crash()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(revoke_key_and_crash_server)
        answer = await traffic.ask("/letter/1", X_Deadline_Ms="12000")
    assert list_ids(answer.text) == list(range(1, 61))
    assert [run.headers.get("x-tenant") for run in traffic.fleet.runs] == ["broker", None]
