"""Case: on a public route a node goes on naming the tenant of a key that was taken away."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import anyio
from anyio.abc import SocketStream
from world import COULD_NOT_RUN, TROUBLE, CutStore, Node, find_port, run_case, wait_until

from standins.platform.operator import HOST, KEY, configure, make_configuration
from standins.platform.servers import Fleet
from standins.platform.wire import serve

REVOKE_S = 5.0  # bounds.revoke_ms of swanreach-hq
AWAY_S = 9.0  # platform_down (nodes silent revoke meet drain) of swanreach-hq: for_s = 9.0
SPACING_S = 0.1
TENANT = "broker"
NODES = 3  # one of them is turned away, by share 0.35


async def ask_kept(stream: SocketStream, request: str) -> int:
    """Send a request with the key on a kept connection; return the status, 0 without a whole answer."""
    head = [
        "GET /open/a HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request}", "X-Deadline-Ms: 1500",
        f"Authorization: Token {KEY}", "", "",
    ]  # fmt: skip
    answer = b""
    with anyio.move_on_after(2.0):
        try:
            await stream.send("\r\n".join(head).encode())
            while True:
                answer += await stream.receive()
                top, is_whole, body = answer.partition(b"\r\n\r\n")
                length = next(
                    (int(line[15:]) for line in top.lower().split(b"\r\n") if line.startswith(b"content-length:")), 0
                )
                if is_whole and len(body) >= length:
                    return int(answer.split()[1])
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return 0
    return 0


async def play(folder: Path, record: list[str], nodes: list[Node]) -> int:
    async with anyio.create_task_group() as tasks:
        store = CutStore()
        address, cut_address = (f"127.0.0.1:{find_port()}" for _ in range(2))
        await store.start(address, tasks)
        await serve(cut_address, store.answer_cut, tasks)
        fleet = Fleet(store, tasks)
        code = await play_with(folder, store, fleet, (address, cut_address), nodes, record)
        tasks.cancel_scope.cancel()
    return code


async def play_with(
    folder: Path, store: CutStore, fleet: Fleet, addresses: tuple[str, str], nodes: list[Node], record: list[str]
) -> int:
    tenants = [{"name": TENANT, "api_keys": [KEY]}, {"name": "other", "api_keys": ["key-of-another"]}]
    configure(store, make_configuration(1, tenants=tenants))
    for _ in range(2):
        await fleet.add(f"127.0.0.1:{find_port()}", "desk", "east", None)
    nodes += [Node(folder, f"edge-{number + 1}", addresses[number == 0]) for number in range(NODES)]
    if not all([await wait_until(node.is_ready, 20) for node in nodes]):
        record.append("a node did not become ready")
        return COULD_NOT_RUN
    await anyio.sleep(3.0)
    results: list[tuple[float, str, int]] = []
    async with await anyio.connect_tcp("127.0.0.1", nodes[0].client) as stream:
        if await ask_kept(stream, "first") != 200 or fleet.find_runs("first")[0].headers.get("x-tenant") != TENANT:
            record.append("the key does not work before it is taken away")
            return COULD_NOT_RUN
        store.is_cut = TROUBLE
        configure(store, make_configuration(2, tenants=[{"name": TENANT, "api_keys": []}, tenants[1]]))
        acknowledged = time.monotonic()
        record.append("0.00 the store acknowledges the configuration without the key")
        if TROUBLE:
            record.append("0.00 it turns the first node away, silently")
        number = 0
        while (at := time.monotonic() - acknowledged) < AWAY_S:
            number += 1
            status = await ask_kept(stream, f"r{number}")
            results.append((at, f"r{number}", status))
            if not status:
                record.append(f"{at:.2f} the connection is closed")
                break
            await anyio.sleep(SPACING_S)
    store.is_cut = False
    late = 0
    for at, request, status in results:
        named = [run.headers.get("x-tenant", "none") for run in fleet.find_runs(request)]
        record.append(f"{at:.2f} {request}: {status}, ran as {named}")
        late += at > REVOKE_S and TENANT in named
    record.append(f"{late} requests sent later than {REVOKE_S} s after the acknowledgement ran as {TENANT}'s")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
