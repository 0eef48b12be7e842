"""Requests over a lost server are woken as soon as one of them has found the loss."""

from __future__ import annotations

import anyio
import anyio.lowlevel
import pytest

from vaneturn_core.traffic.servers import ServerId
from vaneturn_node.traffic.alarms import Listener, LossAlarm

pytestmark = pytest.mark.anyio

LOST = ServerId("i-1")
SOUND = ServerId("i-2")


async def wait(listener: Listener, woken: list[Listener]) -> None:
    with listener.listen():
        await anyio.sleep(5.0)
    woken.append(listener)


async def test_alarm_wakes_all_who_wait_over_the_lost_server_and_no_others() -> None:
    alarm = LossAlarm()
    over_it = [Listener(), Listener()]
    beside = Listener()
    for listener in over_it:
        alarm.add(listener, [LOST, SOUND])
    alarm.add(beside, [SOUND])
    woken: list[Listener] = []
    async with anyio.create_task_group() as tasks:
        for listener in (*over_it, beside):
            tasks.start_soon(wait, listener, woken)
        await anyio.sleep(0.01)
        alarm.sound(LOST)
        await anyio.sleep(0.01)
        assert set(woken) == set(over_it)
        tasks.cancel_scope.cancel()


async def test_who_does_not_wait_is_not_disturbed() -> None:
    alarm = LossAlarm()
    listener = Listener()
    alarm.add(listener, [LOST])
    with listener.listen():
        pass
    alarm.sound(LOST)
    await anyio.lowlevel.checkpoint()  # a late cancellation would end the test here
    alarm.remove(listener, [LOST])
    alarm.sound(LOST)
