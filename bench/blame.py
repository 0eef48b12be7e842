"""What the blame for crashes costs a node: bytes of reports, memory, and processor time for each request and crash."""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec
from tabulate import tabulate

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.blame.causes import find_causes
from vaneturn_core.traffic.blame.contents import Content, Fingerprint, PromptPart
from vaneturn_core.traffic.blame.crashboard import CrashBoard
from vaneturn_core.traffic.blame.crashes import LostRequest, Suspicion
from vaneturn_core.traffic.servers import ServerId, Software
from vaneturn_node.traffic.servers.crashrows import pack_crashes
from vaneturn_node.traffic.sharing.crashsharing import CrashReport

PARTS = 3  # of each request
POPULAR_PARTS = 200  # that prompts share
CRASHES = (1, 16, 64)
REQUESTS = (10, 50)  # suspected ones of each crash
SHARED_LOSSES = 250  # requests that were on two servers which crashed
REPEATS = 2000
SOFTWARE = Software("llm/v1")


def make_request(rng: random.Random, *, is_deadly: bool) -> Fingerprint:
    parts = [PromptPart(rng.randrange(POPULAR_PARTS) << 24) for _ in range(PARTS - 1)]
    return Fingerprint(Content(rng.getrandbits(64)), (*parts, PromptPart(1 if is_deadly else rng.getrandbits(40))))


def make_board(rng: random.Random, crashes: int, requests: int) -> CrashBoard:
    """Make a board on which each fourth crash is by a deadly part, among other requests of which none is cleared."""
    board = CrashBoard(time.monotonic, lambda _: {SOFTWARE})
    for number in range(crashes):
        server = ServerId(f"i-{number:08x}")
        for index in range(requests):
            request = make_request(rng, is_deadly=index == 0 and number % 4 == 0)
            board.record_lost_connection(server, SOFTWARE, LostRequest(request, Suspicion.UNHEARD))
        board.confirm(server)
    return board


def measure(action: Callable[[], object], repeats: int) -> float:
    """Measure the processor time of an action in microseconds."""
    start = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - start) / repeats * 1e6


def count_bytes(board: CrashBoard, since: int) -> int:
    rows = pack_crashes(board.list_crashes(since), time.monotonic())
    return len(msgspec.json.encode(CrashReport(VmId("entry-1"), board.check, rows)))


def measure_shared_losses(rng: random.Random) -> tuple[float, float]:
    """Measure the decisions while a node notes the same requests as lost on two servers: all of them, and the slowest.

    :return: seconds, and milliseconds.
    """
    board = CrashBoard(time.monotonic, lambda _: {SOFTWARE})
    servers = [ServerId("i-1"), ServerId("i-2")]
    total = slowest = 0.0
    for number in range(SHARED_LOSSES):
        request = make_request(rng, is_deadly=False)
        for server in servers:
            board.record_lost_connection(server, SOFTWARE, LostRequest(request, Suspicion.UNHEARD))
            if number == 0:
                board.confirm(server)
            start = time.process_time()
            board.find_block(request)
            seconds = time.process_time() - start
            total, slowest = total + seconds, max(slowest, seconds)
    return total, slowest * 1000


def main() -> None:
    rng = random.Random(1)
    rows = []
    for crashes in CRASHES:
        for requests in REQUESTS:
            tracemalloc.start()
            board = make_board(rng, crashes, requests)
            kilobytes = tracemalloc.get_traced_memory()[0] / 1000
            tracemalloc.stop()
            request = make_request(rng, is_deadly=False)

            rows.append(
                (
                    crashes,
                    requests,
                    kilobytes,
                    count_bytes(board, -1),
                    count_bytes(board, board.revision - 1),
                    measure(lambda board=board, request=request: board.find_block(request), REPEATS),  # type: ignore[misc]
                    measure(lambda board=board, request=request: board.record_completion(request, SOFTWARE), REPEATS),  # type: ignore[misc]
                    measure(lambda board=board: find_causes(board.list_crashes()), 5) / 1000,  # type: ignore[misc]
                )
            )
    headers = (
        "crashes", "requests each", "memory KB", "whole report B", "newest crash B", "check us", "completion us",
        "decision ms",
    )  # fmt: skip
    print(tabulate(rows, headers, floatfmt=".1f"))
    total, slowest = measure_shared_losses(rng)
    print(f"{SHARED_LOSSES} requests lost on two servers: {total:.2f} s in all, {slowest:.1f} ms at most")


if __name__ == "__main__":
    main()
