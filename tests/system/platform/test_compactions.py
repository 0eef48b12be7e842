"""Before the store drops its history, watches report no changes for a second; keys revoked then still close in time."""

from __future__ import annotations

import time
from pathlib import Path

import anyio
import pytest

from rig.traffic import Traffic, open_traffic, wait_for
from standins.platform.operator import configure, make_configuration
from standins.platform.store import Mode
from standins.platform.wire import Exchange

pytestmark = pytest.mark.anyio

KEYS_VALID_S = 3.5  # from the removal of a key to the last request with it
MUTED_S = 1.0
OUTAGE_S = 4.5
SPACING_S = 0.02  # between requests


class WatchClock:
    """Records when the watches of the store end if nothing happens."""

    def __init__(self, traffic: Traffic) -> None:
        self._ends_at = float("-inf")
        traffic.fleet.store.choose_mode = self._record

    def _record(self, exchange: Exchange) -> None:
        if exchange.call.path == "/api/kv-watch":
            self._ends_at = time.monotonic() + int(exchange.call.query["wait_ms"]) / 1000

    async def wait_for_end(self, seconds: float) -> None:
        """Wait until a watch has some seconds left."""
        await wait_for(lambda: self._ends_at - time.monotonic() > seconds)
        await anyio.sleep(self._ends_at - time.monotonic() - seconds)


@pytest.mark.parametrize("before_end", [0.97, 0.5, 0.02])
async def test_key_revoked_before_a_compaction_and_an_outage_closes_in_time(tmp_path: Path, before_end: float) -> None:
    """An empty watch counted as the confirmation of keys up to its end, though it reports no change by then."""
    async with open_traffic(tmp_path, keys_valid_ms=KEYS_VALID_S * 1000) as traffic:
        await traffic.add_desk()
        store, watches = traffic.fleet.store, WatchClock(traffic)
        assert (await traffic.ask("/once/1")).status_code == 200
        await watches.wait_for_end(before_end)
        store.mute_watches()
        configure(store, make_configuration(2, tenants=[{"name": "broker", "api_keys": []}]))
        revoked_at = time.monotonic()

        async def drop_history_and_fall_silent() -> None:
            await anyio.sleep(MUTED_S)
            store.compact()
            store.set_mode(Mode.SILENT)
            await anyio.sleep(OUTAGE_S)
            store.set_mode(Mode.HEALTHY)

        sent_at: dict[str, float] = {}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drop_history_and_fall_silent)
            while (age := time.monotonic() - revoked_at) < KEYS_VALID_S + 1.0:
                request = f"sent-{len(sent_at)}"
                sent_at[request] = age
                await traffic.ask("/check/1", "GET", X_Request_Id=request)
                await anyio.sleep(SPACING_S)
        ran = [sent_at[run.request] for run in traffic.fleet.runs if run.request in sent_at]
        assert max(ran) < KEYS_VALID_S
