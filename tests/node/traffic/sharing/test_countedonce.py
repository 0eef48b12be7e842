"""No request in progress is counted twice in the sums over all nodes, whatever relays the nodes ask.

During an outage of the store, each relay that a node asked in turn counted its report, and passed it on to others.
"""

from __future__ import annotations

from collections.abc import Collection

import pytest

from node.traffic.sharing.storefleet import StoreFleet
from rig.virtualtime import VirtualClock, VirtualTimeLoop
from vaneturn_core.identifiers import VmId

pytestmark = pytest.mark.anyio

OUTAGE_S = 8.0
MAX_CHANGING = 2.0  # times the true number, while nodes change their relay: its sums may hold them for 3 s more
SIZES = pytest.mark.parametrize("count", [8, 24, 64])


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, object]]:
    return "asyncio", {"loop_factory": VirtualTimeLoop}


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("vaneturn_node.clock.time", VirtualClock)


async def watch_outage(fleet: StoreFleet, refused: Collection[VmId]) -> tuple[list[float], list[float], list[float]]:
    """Return how often requests are counted in an outage of the store for some nodes, after it, and settled again."""
    counts: list[list[float]] = []

    async def act(fleet: StoreFleet) -> None:
        await fleet.settle()
        fleet.store.refuse(refused)
        counts.append(await fleet.watch(OUTAGE_S))
        fleet.store.refuse(())
        fleet.frozen.clear()
        counts.append(await fleet.watch(OUTAGE_S))
        await fleet.settle()
        counts.append(await fleet.watch(1.0))

    await fleet.run(act)
    during, after, settled = counts
    return during, after, settled


@SIZES
@pytest.mark.parametrize("seed", [1, 2])
async def test_all_nodes_see_the_true_number_while_the_store_is_away(count: int, seed: int) -> None:
    """They saw up to 213 times the number with 24 nodes, refused requests of idle servers and crowded a few servers."""
    fleet = StoreFleet(count, seed)
    during, after, settled = await watch_outage(fleet, fleet.vms)
    assert set(during) == {1.0}
    assert max(after) <= MAX_CHANGING
    assert set(settled) == {1.0}


@SIZES
async def test_nodes_that_leave_relays_out_of_touch_are_not_counted_there_again(count: int) -> None:
    """A node asks such a relay again every 4 s, for as long as the store refuses the relay."""
    fleet = StoreFleet(count)
    during, after, settled = await watch_outage(fleet, fleet.relays)
    assert max(during) <= MAX_CHANGING
    assert max(after) <= MAX_CHANGING
    assert set(settled) == {1.0}


@SIZES
async def test_nodes_whose_relays_are_gone_are_counted_by_one_replacement(count: int) -> None:
    fleet = StoreFleet(count)
    fleet.frozen = set(fleet.relays)
    during, after, settled = await watch_outage(fleet, fleet.vms)
    assert max(during) <= MAX_CHANGING
    assert max(after) <= MAX_CHANGING
    assert set(settled) == {1.0}


async def test_store_that_refuses_all_but_two_nodes_leaves_no_node_in_two_sums() -> None:
    fleet = StoreFleet(24)
    during, after, settled = await watch_outage(fleet, fleet.vms[:-2])
    assert max(during) <= MAX_CHANGING
    assert max(after) <= MAX_CHANGING
    assert set(settled) == {1.0}
