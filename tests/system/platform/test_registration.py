"""A node stays registered whatever the store does with its writes: else it never takes over the duties of others."""

from __future__ import annotations

import json

import anyio
import pytest

from rig.traffic import Traffic, wait_for
from standins.platform.store import Mode
from standins.platform.wire import Exchange

pytestmark = pytest.mark.anyio

RECORD = "vaneturn/nodes/entry-2"
LATE_S = 4.0  # until a write without an answer is done; the store may take 1 to 6 s
REWRITE_TIME_S = 3.0  # generous, for busy machines


async def test_node_whose_first_registration_is_done_late_stays_registered(traffic: Traffic) -> None:
    """The late write put the record under a lease that nobody renewed, so that it went for good."""
    store = traffic.fleet.store
    late: list[bytes] = []

    def lose_first_registration(exchange: Exchange) -> Mode | None:
        if late or RECORD.encode() not in exchange.call.body:
            return None
        late.append(exchange.call.body)
        return Mode.SILENT

    store.choose_mode = lose_first_registration
    await traffic.start_node()
    await wait_for(lambda: RECORD in store.items)
    lease = store.items[RECORD].lease
    await anyio.sleep(LATE_S)
    store._change(json.loads(late[0]))
    await anyio.sleep(REWRITE_TIME_S)
    assert store.items[RECORD].lease == lease


@pytest.mark.parametrize("is_removed", [True, False], ids=["removed", "under another lease"])
async def test_node_whose_record_was_replaced_registers_again(traffic: Traffic, *, is_removed: bool) -> None:
    store = traffic.fleet.store
    await traffic.start_node()
    await wait_for(lambda: RECORD in store.items)
    item = store.items[RECORD]
    if is_removed:
        store.remove(RECORD)
    else:
        store.put(RECORD, item.value, lease=0)
    await wait_for(lambda: RECORD in store.items and store.items[RECORD].lease == item.lease, REWRITE_TIME_S)
