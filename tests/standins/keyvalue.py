"""Stand-in for the platform's key-value service: compare-and-swap, leases, watches and injected faults."""

from __future__ import annotations

import argparse
import itertools
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.serving import Journal, serve_app

MAX_VALUE_BYTES = 1 << 20


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to inject."""

    down: bool = False  # every call gets 503, also a waiting watch
    delay: float = 0.0  # seconds before a call is handled
    lose_write_answers: int = 0  # number of writes that take effect but whose answer is lost


@dataclass
class StoredValue:
    value: bytes
    version: int
    lease: int | None = None


class Store:
    def __init__(self, journal: Journal) -> None:
        self.journal = journal
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._values: dict[str, StoredValue] = {}
        self._older_values: dict[str, list[StoredValue]] = {}
        self._lease_expiries: dict[int, float] = {}
        self._lease_ttls: dict[int, float] = {}
        self._ids = itertools.count(1)
        self.changed = anyio.Event()

    def find(self, key: str) -> StoredValue:
        stored = self._values.get(key)
        if (
            stored is not None
            and stored.lease is not None
            and self._lease_expiries.get(stored.lease, 0) < time.monotonic()
        ):
            del self._values[key]
            stored = None
        return stored or StoredValue(b"", 0)

    def put(self, key: str, value: bytes, lease: int | None) -> int:
        stored = StoredValue(value, next(self._ids), lease)
        self._older_values.setdefault(key, []).append(self.find(key))
        self._values[key] = stored
        self.journal.write(event="write", key=key, version=stored.version, size=len(value))
        self.notify()
        return stored.version

    def delete(self, key: str) -> None:
        self._values.pop(key, None)
        self.notify()

    def restore(self, key: str, steps: int) -> None:
        """Restore an older value of a key, as from a backup; the version keeps increasing."""
        older = self._older_values[key][-steps]
        self._values[key] = StoredValue(older.value, next(self._ids))
        self.notify()

    def notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def grant(self, ttl: float) -> int:
        lease = next(self._ids)
        self._lease_ttls[lease] = ttl
        self._lease_expiries[lease] = time.monotonic() + ttl
        return lease

    def renew(self, lease: int) -> bool:
        if self._lease_expiries.get(lease, 0) < time.monotonic():
            return False
        self._lease_expiries[lease] = time.monotonic() + self._lease_ttls[lease]
        return True


def make_app(store: Store) -> Starlette:
    async def fail() -> Response | None:
        if store.faults.delay:
            await anyio.sleep(store.faults.delay)
        return Response(status_code=503) if store.faults.down else None

    async def read(request: Request) -> Response:
        store.calls["watch" if "after" in request.query_params else "read"] += 1
        refused = await fail()
        if refused:
            return refused
        key = request.path_params["key"]
        stored = store.find(key)
        if "after" in request.query_params:
            after = int(request.query_params["after"])
            with anyio.move_on_after(float(request.query_params["wait"])):
                while (stored := store.find(key)).version == after and not store.faults.down:
                    with anyio.move_on_after(0.5):  # a lease may expire meanwhile
                        await store.changed.wait()
            if store.faults.down:
                return Response(status_code=503)
            if stored.version == after:
                return Response(status_code=304, headers={"Version": str(after)})
        return Response(stored.value, headers={"Version": str(stored.version)})

    async def write(request: Request) -> Response:
        store.calls["write"] += 1
        value = await request.body()
        refused = await fail()
        if refused:
            return refused
        key = request.path_params["key"]
        if len(value) > MAX_VALUE_BYTES:
            return Response(status_code=413)
        stored = store.find(key)
        if stored.version != int(request.query_params["expected"]):
            return Response(status_code=409, headers={"Version": str(stored.version)})
        if request.method == "DELETE":
            store.delete(key)
            return Response(headers={"Version": "0"})
        lease = request.query_params.get("lease")
        version = store.put(key, value, int(lease) if lease else None)
        if store.faults.lose_write_answers:
            store.faults.lose_write_answers -= 1
            await anyio.sleep(4)
            return Response(status_code=503)
        return Response(headers={"Version": str(version)})

    async def grant(request: Request) -> Response:
        store.calls["lease"] += 1
        return await fail() or JSONResponse({"lease": store.grant(float(request.query_params["ttl"]))})

    async def renew(request: Request) -> Response:
        store.calls["lease"] += 1
        refused = await fail()
        if refused:
            return refused
        return Response(status_code=200 if store.renew(int(request.path_params["lease"])) else 410)

    async def set_faults(request: Request) -> Response:
        store.faults = msgspec.json.decode(await request.body(), type=Faults)
        store.notify()
        return Response()

    async def restore(request: Request) -> Response:
        store.restore(request.path_params["key"], int(request.query_params["steps"]))
        return Response()

    async def count(_request: Request) -> Response:
        return JSONResponse(dict(store.calls))

    return Starlette(
        routes=[
            Route("/v1/kv/{key:path}", read, methods=["GET"]),
            Route("/v1/kv/{key:path}", write, methods=["PUT", "DELETE"]),
            Route("/v1/leases", grant, methods=["POST"]),
            Route("/v1/leases/{lease}", renew, methods=["PUT"]),
            Route("/control/faults", set_faults, methods=["POST"]),
            Route("/control/restore/{key:path}", restore, methods=["POST"]),
            Route("/control/calls", count, methods=["GET"]),
        ]
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--journal", type=Path)
    options = parser.parse_args()

    async def run() -> None:
        await serve_app(make_app(Store(Journal(options.journal))), options.port)

    anyio.run(run)


if __name__ == "__main__":
    main()
