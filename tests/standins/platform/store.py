"""The platform's metadata store, with simulated outages."""

from __future__ import annotations

import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from standins.platform.wire import Exchange, FindLink, find_no_link, serve

SLOW_BODY_BYTES = 16384  # answers with longer bodies are sent over body_time
SLOW_BODY_PARTS = 10  # parts in which such a body is sent
FIRST_LEASE = 100
FOREIGN_PREFIXES = ("op/", "servers/")  # keys of the operator and the servers, which write them again after a restore


class Mode(Enum):
    """How the store responds to calls."""

    HEALTHY = "sound"
    BUSY = "busy"  # 503, nothing is done
    RESET = "reset"
    SILENT = "silent"
    LOSES_ANSWERS = "loses answers"  # writes take effect but are not answered


@dataclass
class Item:
    key: str
    value: bytes
    revision: int
    made: int
    lease: int = 0

    def encode(self) -> dict[str, Any]:
        value = base64.b64encode(self.value).decode()
        return {
            "key": self.key, "value": value, "revision": self.revision, "made": self.made, "lease": self.lease,
        }  # fmt: skip


class Copy(NamedTuple):
    """The state of the store at some time, to restore it from."""

    items: dict[str, Item]
    revision: int
    events: list[dict[str, Any]]
    leases: dict[int, tuple[float, float]]
    next_lease: int


@dataclass
class Store:
    """All state in memory; the operator and the servers write through put and remove."""

    mode: Mode = Mode.HEALTHY
    choose_mode: Callable[[Exchange], Mode | None] = lambda _: None  # a mode for a single call, if any
    items: dict[str, Item] = field(default_factory=dict)
    revision: int = 1
    events: list[dict[str, Any]] = field(default_factory=list)
    oldest: int = 0  # revision up to which the history is deleted
    muted_after: int | None = None  # revision after which watches report no changes, before the history is deleted
    is_down: bool = False
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)  # id: expiry, time to live; seconds
    body_time: float = 0.0  # seconds over which a long body is sent, as on a slow link
    calls: list[tuple[str, str]] = field(default_factory=list)
    epoch: int | None = None  # rises with each restore; stated in all answers, unless it is None
    next_lease: int = FIRST_LEASE
    _changed: anyio.Event = field(default_factory=anyio.Event)

    def set_mode(self, mode: Mode) -> None:
        """Start or end an outage; an outage ends waiting watches."""
        self.mode = mode
        self.is_down = mode is not Mode.HEALTHY
        self._wake()

    async def start(self, address: str, tasks: TaskGroup) -> None:
        await self.listen(address, tasks)
        tasks.start_soon(self._expire)

    async def listen(self, address: str, tasks: TaskGroup, find_link: FindLink = find_no_link) -> None:
        """Accept calls at an additional address, so that a test can tell callers apart."""
        await serve(address, self._answer, tasks, find_link)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        made = self.items[key].made if key in self.items else self.revision
        self.items[key] = item = Item(key, value, self.revision, made, lease)
        self._record_event(item.encode())
        return self.revision

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event({"key": key, "revision": self.revision, "gone": True})

    def mute_watches(self) -> None:
        """Report no further changes to watches until the history is deleted; reads and writes are as usual."""
        self.muted_after = self.revision

    def compact(self) -> None:
        """Delete the history; this ends waiting watches."""
        self.muted_after = None
        self.oldest = self.revision
        self.events.clear()
        self._wake()

    def copy(self) -> Copy:
        return Copy(dict(self.items), self.revision, list(self.events), dict(self.leases), self.next_lease)

    def restore(self, saved: Copy) -> None:
        """Restore a copy: later writes and leases of the nodes are gone, and their revisions are given out again.

        The operator and the servers write again at once what the copy lacks.
        """
        current = self.items
        self.items, self.revision, self.next_lease = dict(saved.items), saved.revision, saved.next_lease
        self.events, self.leases = list(saved.events), dict(saved.leases)
        self.oldest = min(self.oldest, self.revision)
        self.epoch = self.epoch + 1 if self.epoch is not None else None
        self._wake()
        for key in sorted({*saved.items, *current}):
            if key.startswith(FOREIGN_PREFIXES) and current.get(key) != saved.items.get(key):
                self._rewrite(key, current.get(key))

    def _rewrite(self, key: str, item: Item | None) -> None:
        if item is not None:
            self.put(key, item.value)
        else:
            self.remove(key)

    def _record_event(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _expire(self) -> None:
        while True:
            await anyio.sleep(0.02)
            now = time.monotonic()
            if self.mode is not Mode.HEALTHY:
                continue
            for lease in [lease_id for lease_id, (end, _) in self.leases.items() if end < now]:
                self._end(lease)

    def _end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [item.key for item in self.items.values() if item.lease == lease]:
            self.remove(key)

    async def _answer(self, exchange: Exchange) -> None:
        call = exchange.call
        self.calls.append((call.method, call.path))
        mode = self.choose_mode(exchange) or self.mode
        if mode is Mode.BUSY:
            await exchange.reply(503, self._state_epoch())
            return
        if mode is Mode.RESET:
            await exchange.reset()
        if mode is Mode.SILENT:
            await exchange.watch_client()
            await exchange.close()
        if self.mode in {Mode.BUSY, Mode.RESET, Mode.SILENT}:  # a watch that was waiting when the outage began
            await exchange.reset()
        loses_answer = mode is Mode.LOSES_ANSWERS and call.method != "GET"
        status, value = await self._handle(exchange)
        if loses_answer:
            await exchange.watch_client()
            await exchange.close()
        await self._reply(exchange, status, json.dumps(value).encode())

    def _state_epoch(self) -> dict[str, str]:
        return {"Store-Era": str(self.epoch)} if self.epoch is not None else {}

    async def _reply(self, exchange: Exchange, status: int, body: bytes) -> None:
        headers = {"Content-Type": "application/json", "Content-Length": str(len(body))}
        await exchange.begin(status, headers | self._state_epoch())
        parts = SLOW_BODY_PARTS if len(body) > SLOW_BODY_BYTES and self.body_time else 1
        size = -(-len(body) // parts)
        for first in range(0, len(body), size):
            await exchange.send(body[first : first + size])
            await anyio.sleep(self.body_time / parts if parts > 1 else 0)
        await exchange.end()

    async def _handle(self, exchange: Exchange) -> tuple[int, Any]:
        call = exchange.call
        if call.path == "/api/kv-range":
            prefix = call.query.get("path_prefix", "")
            entries = [item.encode() for key, item in sorted(self.items.items()) if key.startswith(prefix)]
            return 200, {"entries": entries, "more": False, "at": self.revision}
        if call.path == "/api/kv-key":
            found = self.items.get(call.query["key"])
            return (200, found.encode()) if found else (404, {})
        if call.path == "/api/kv-watch":
            return await self._watch(call.query)
        if call.path == "/api/kv-txn":
            return self._change(json.loads(call.body))
        if call.path == "/api/kv-lease":
            return self._grant(json.loads(call.body)["ttl_ms"] / 1000)
        return self._use_lease(call.path)

    def _use_lease(self, path: str) -> tuple[int, Any]:
        name, _, number = path.rpartition("/")
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        if name == "/api/kv-lease-end":
            self._end(lease)
            return 200, {}
        _, held = self.leases[lease]
        self.leases[lease] = (time.monotonic() + held, held)
        return 200, {"ttl_ms": held * 1000}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        since = at = int(query["since_rev"])
        with anyio.move_on_after(int(query["wait_ms"]) / 1000):
            while True:
                if since < self.oldest or since > self.revision:
                    return 410, {}
                if self.is_down:
                    return 503, {}
                newest = self.revision if self.muted_after is None else self.muted_after
                events = [
                    event
                    for event in self.events
                    if since < event["revision"] <= newest and event["key"].startswith(query.get("path_prefix", ""))
                ]
                if events:
                    return 200, {"events": events, "at": newest}
                at = max(at, newest)  # excludes changes made in the event loop turn in which the wait ends
                await self._changed.wait()
        return 200, {"events": [], "at": at}

    def _change(self, change: dict[str, Any]) -> tuple[int, Any]:
        for row in change["expected_rev"]:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"entries": []}
        for put in change["put"]:
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in change["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    def _grant(self, held: float) -> tuple[int, Any]:
        lease, self.next_lease = self.next_lease, self.next_lease + 1
        self.leases[lease] = (time.monotonic() + held, held)
        return 200, {"lease": lease, "ttl_ms": held * 1000}


__all__ = ["Copy", "Mode", "Store"]
