"""The parts that a stand-in for a model engine holds by orders, and their loading from the weight store."""

from __future__ import annotations

import argparse
import importlib
from collections.abc import Callable, Sequence

import anyio

from standins.serving import Journal
from vaneturn_core.engine.messages import Hold, Open
from vaneturn_core.placing.parts import Holdings, Part


def name_part(opened: Open) -> Part:
    return Part(opened.model, opened.version, opened.adapter, opened.first, opened.end)


class HeldParts:
    """The parts that an engine holds by fenced orders, and their loading from the weight store."""

    def __init__(
        self,
        options: argparse.Namespace,
        journal: Journal,
        list_used: Callable[[], Sequence[Part]],
        report: Callable[[], None],
    ) -> None:
        if options.weight_store is not None:
            importlib.import_module("httpx")  # before the first load; without a weight store it would delay the start
        self._options = options
        self._journal = journal
        self._list_used = list_used
        self._report = report
        self._held_parts: list[Part] = []
        self._loading: dict[Part, anyio.CancelScope] = {}
        self._ending: list[Part] = []
        self._freed = anyio.Event()
        self.fence = 0

    async def run(self) -> None:
        async with anyio.create_task_group() as self._tasks:
            await anyio.sleep_forever()

    def covers(self, part: Part) -> bool:
        return any(held.covers(part) for held in self._held_parts)

    def describe(self) -> Holdings:
        return Holdings(self.fence, tuple(self._held_parts), tuple(self._loading), tuple(self._ending))

    def handle_order(self, order: Hold) -> bool:
        """Carry out an order; return False if its fence is too old."""
        if order.fence < self.fence and not self._options.no_fence:
            self._journal.write(event="fenced", fence=order.fence, newest=self.fence)
            return False
        self.fence = max(self.fence, order.fence)
        self._journal.write(event="hold", fence=order.fence, parts=[str(part) for part in order.parts])
        self._ending += [part for part in self._held_parts if part not in order.parts]
        self._held_parts = [part for part in self._held_parts if part in order.parts]
        for part in [part for part in self._loading if part not in order.parts]:
            self._loading.pop(part).cancel()
        for part in order.parts:
            self._hold_or_load(part)
        self.drop_ended()
        self._report()
        return True

    def _hold_or_load(self, part: Part) -> None:
        if part in self._held_parts or part in self._loading:
            return
        if part in self._ending:
            self._ending.remove(part)
            self._held_parts.append(part)
            return
        self._loading[part] = anyio.CancelScope()
        self._tasks.start_soon(self._load, part, self._loading[part])

    async def _load(self, part: Part, scope: anyio.CancelScope) -> None:
        with scope:
            while self._count_layers(self._held_parts, self._ending, [part]) > self._options.memory_layers:
                await self._freed.wait()
            await self._fetch(part)
            if self._loading.get(part) is scope:
                del self._loading[part]
                self._held_parts.append(part)
                self._journal.write(event="loaded", part=str(part))
                self._report()

    async def _fetch(self, part: Part) -> None:
        import httpx  # noqa: PLC0415 # only engines with a weight store need it

        url = f"{self._options.weight_store}/v1/weights/{part.model}/{part.version}/{part.first}/{part.end}"
        async with httpx.AsyncClient(timeout=60) as client:
            while True:
                answer = await client.get(url)
                if answer.status_code == httpx.codes.OK:
                    return
                await anyio.sleep(float(answer.headers.get("Retry-After", "1")))

    @staticmethod
    def _count_layers(*parts: list[Part]) -> int:
        return sum(part.end - part.first for part_list in parts for part in part_list)

    def drop_ended(self) -> None:
        """Drop the ending parts that no session uses any more."""
        used = self._list_used()
        kept = [part for part in self._ending if any(part.covers(used_part) for used_part in used)]
        if kept != self._ending:
            self._ending = kept
            self._freed.set()
            self._freed = anyio.Event()
            self._report()
