"""Stand-in for a model engine that holds a range of layers."""

from __future__ import annotations

import argparse
import heapq
import itertools
from collections import OrderedDict
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route, WebSocketRoute
from starlette.websockets import WebSocket, WebSocketDisconnect

from standins.model import HIDDEN_BYTES, TOKEN_BYTES, Chain, Layers, Weights, sample
from standins.parts import HeldParts, name_part
from standins.serving import Journal, serve_app
from vaneturn_core.engine.messages import (
    CACHE_PATH,
    ENCODER,
    LINK_PATH,
    ORDER_DECODER,
    Close,
    Done,
    Hold,
    Leaving,
    Open,
    Refusal,
    Refused,
    Reply,
    Step,
)
from vaneturn_core.placing.parts import Part


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to inject; each injected fault reduces its count."""

    lose_replies: int = 0  # run the step but send no reply
    double_replies: int = 0  # send the reply twice
    late_replies: int = 0  # send the reply after late_seconds
    late_seconds: float = 1.0
    cross_replies: int = 0  # send the reply with the id of another session
    wrong_ranges: int = 0  # report other layers in the reply
    delay: float = 0.0  # seconds added to each reply, as by a degraded link
    refuse_open: bool = False


class SessionCache(msgspec.Struct):
    """The KV cache of one session, and the newest reply."""

    opened: Open
    chains: list[Chain] = []
    newest: Done | None = None

    @property
    def held(self) -> int:
        return len(self.chains)


@dataclass
class Peer:
    """One link from a node."""

    socket: WebSocket
    outgoing: list[Reply] = field(default_factory=list)
    wake: anyio.Event = field(default_factory=anyio.Event)

    def send(self, reply: Reply) -> None:
        self.outgoing.append(reply)
        self.wake.set()


class Engine:
    def __init__(self, options: argparse.Namespace, journal: Journal) -> None:
        self.options = options
        self.journal = journal
        self.faults = Faults()
        self.leaving = False
        self.peers: list[Peer] = []
        self.caches: OrderedDict[str, SessionCache] = OrderedDict()
        self.parts = HeldParts(options, journal, self._list_used, self._report_holdings)
        self._refused: dict[str, Refusal] = {}  # sessions whose opening was refused
        self._queue: list[tuple[int, int, Peer, Step]] = []
        self._order = itertools.count()
        self._wake = anyio.Event()
        self._layers: dict[tuple[Weights, int, int], Layers] = {}

    def handle_order(self, peer: Peer, order: Open | Step | Close | Hold) -> None:
        if isinstance(order, Hold):
            if not self.parts.handle_order(order):
                peer.send(self.parts.describe())
            return
        if isinstance(order, Open):
            self._open(order)
            return
        if isinstance(order, Close):
            self.caches.pop(order.session, None)
            self._refused.pop(order.session, None)
            self.journal.write(event="close", session=order.session)
            self.parts.drop_ended()
            return
        cache = self.caches.get(order.session)
        refusal = self._find_refusal(cache, order)
        if cache is None or refusal is not None:
            held = cache.held if cache else 0
            refused = refusal or Refusal.NO_SESSION
            if cache is None:
                refused = self._refused.get(order.session, refused)
            self.journal.write(event="refused", session=order.session, position=order.position, cause=refused.value)
            peer.send(Refused(order.session, order.attempt, order.position, refused, held, len(self._queue)))
            return
        heapq.heappush(self._queue, (cache.opened.priority, next(self._order), peer, order))
        self._wake.set()

    def _open(self, order: Open) -> None:
        cache = self.caches.get(order.session)
        if cache is not None and order.attempt < cache.opened.attempt:
            return
        same = cache is not None and (cache.opened.first, cache.opened.end) == (order.first, order.end)
        if cache is not None and same:
            cache.opened = order
            return
        if self.leaving or self.faults.refuse_open:
            return
        if not self._is_held(order):
            self._refused[order.session] = Refusal.NOT_HELD
            return
        self._refused.pop(order.session, None)
        self.caches[order.session] = SessionCache(order, [])
        while len(self.caches) > self.options.max_sessions:
            evicted, _ = self.caches.popitem(last=False)
            self.journal.write(event="evicted", session=evicted)

    def _is_held(self, order: Open) -> bool:
        options = self.options
        if options.weight_store is not None:
            return self.parts.covers(name_part(order))
        return options.first <= order.first < order.end <= options.end and order.version in options.versions

    def _list_used(self) -> list[Part]:
        return [name_part(cache.opened) for cache in self.caches.values()]

    def _report_holdings(self) -> None:
        for peer in self.peers:
            peer.send(self.parts.describe())

    def _find_refusal(self, cache: SessionCache | None, step: Step) -> Refusal | None:
        if cache is None:
            return Refusal.LEAVING if self.leaving else Refusal.NO_SESSION
        if step.attempt != cache.opened.attempt:
            return Refusal.ATTEMPT
        if len(self._queue) >= self.options.max_queue:
            return Refusal.OVERLOAD
        if step.rebuild:
            return None if step.position <= cache.held else Refusal.POSITION
        newest = cache.newest
        if newest is not None and (newest.position, newest.count) == (step.position, step.count):
            return None
        return None if step.position == cache.held else Refusal.POSITION

    async def batch(self) -> None:
        """Run steps in batches, by priority, within the token budget of an iteration."""
        while True:
            if not self._queue:
                self._wake = anyio.Event()
                await self._wake.wait()
            budget = self.options.batch_tokens
            batch: list[tuple[Peer, Step]] = []
            while self._queue and (not batch or budget >= self._queue[0][3].count):
                _, _, peer, step = heapq.heappop(self._queue)
                budget -= step.count
                batch.append((peer, step))
            positions = sum(step.count for _, step in batch)
            await anyio.sleep(self.options.iteration_seconds + positions * self.options.token_seconds)
            for peer, step in batch:
                self._answer(peer, step)

    def _answer(self, peer: Peer, step: Step) -> None:
        cache = self.caches.get(step.session)
        if cache is None:
            return
        refusal = self._find_refusal(cache, step)
        if refusal is not None and refusal is not Refusal.OVERLOAD:
            peer.send(Refused(step.session, step.attempt, step.position, refusal, cache.held, len(self._queue)))
            return
        reply = self._run(cache, step)
        self._deliver(peer, reply)

    def _run(self, cache: SessionCache, step: Step) -> Done:
        opened = cache.opened
        newest = cache.newest
        if not step.rebuild and newest is not None and newest.position == step.position and cache.held > step.position:
            self.journal.write(event="repeat", session=step.session, attempt=step.attempt, position=step.position)
            return msgspec.structs.replace(newest, attempt=step.attempt, queued=len(self._queue))
        outputs = self._compute(cache, step)
        self.journal.write(
            event="run",
            session=step.session,
            attempt=step.attempt,
            position=step.position,
            count=step.count,
            first=opened.first,
            end=opened.end,
            rebuild=step.rebuild,
        )
        is_last = opened.end == self.options.layers
        sampled = sample(outputs[-HIDDEN_BYTES:], step.seed, step.position + step.count) if is_last else None
        done = Done(
            step.session,
            step.attempt,
            step.position,
            step.count,
            opened.first,
            opened.end,
            b"" if is_last else outputs,
            sampled.token if sampled else None,
            sampled.text if sampled else "",
            sampled.is_last if sampled else False,
            len(self._queue),
            step.rebuild,
        )
        if not step.rebuild:
            cache.newest = done
        return done

    def _compute(self, cache: SessionCache, step: Step) -> bytes:
        opened = cache.opened
        weights = Weights(opened.model, opened.version, opened.adapter)
        key = (weights, opened.first, opened.end)
        layers = self._layers.setdefault(key, Layers(*key))
        width = TOKEN_BYTES if opened.first == 0 else HIDDEN_BYTES
        outputs = bytearray()
        for index in range(step.count):
            position = step.position + index
            before = cache.chains[position - 1] if position else layers.empty
            after, hidden = layers.run(before, step.inputs[index * width : (index + 1) * width])
            if position < cache.held:
                if cache.chains[position] != after:
                    self.journal.write(event="diverged", session=step.session, position=position)
            else:
                cache.chains.append(after)
            outputs += hidden
        return bytes(outputs)

    def _deliver(self, peer: Peer, reply: Done) -> None:
        faults = self.faults
        if faults.lose_replies:
            faults.lose_replies -= 1
            return
        if faults.cross_replies and len(self.caches) > 1:
            faults.cross_replies -= 1
            other = next(session for session in self.caches if session != reply.session)
            self.journal.write(event="crossed", session=reply.session, other=other)
            peer.send(msgspec.structs.replace(reply, session=other))
            return
        if faults.wrong_ranges:
            faults.wrong_ranges -= 1
            inverted = bytes(255 - byte for byte in reply.outputs)
            token = None if reply.token is None else reply.token ^ 1
            reply = msgspec.structs.replace(reply, end=reply.end + 1, outputs=inverted, token=token)
        if faults.double_replies:
            faults.double_replies -= 1
            peer.send(reply)
        if faults.late_replies:
            faults.late_replies -= 1
            self._deliver_later(peer, reply, faults.late_seconds)
            return
        if faults.delay:
            self._deliver_later(peer, reply, faults.delay)
            return
        peer.send(reply)

    def _deliver_later(self, peer: Peer, reply: Done, seconds: float) -> None:
        async def deliver() -> None:
            await anyio.sleep(seconds)
            peer.send(reply)

        self.tasks.start_soon(deliver)

    async def serve_link(self, socket: WebSocket) -> None:
        await socket.accept()
        peer = Peer(socket)
        self.peers.append(peer)
        if self.options.weight_store is not None:
            peer.send(self.parts.describe())
        if self.leaving:
            peer.send(Leaving(self.options.leave_seconds))
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write, peer)
                while True:
                    for order in ORDER_DECODER.decode(await socket.receive_bytes()):
                        self.handle_order(peer, order)
        except* (WebSocketDisconnect, RuntimeError):
            pass
        finally:
            self.peers.remove(peer)

    async def _write(self, peer: Peer) -> None:
        while True:
            await peer.wake.wait()
            peer.wake = anyio.Event()
            batch, peer.outgoing = peer.outgoing, []
            await peer.socket.send_bytes(ENCODER.encode(batch))

    def leave(self) -> None:
        self.leaving = True
        for peer in self.peers:
            peer.send(Leaving(self.options.leave_seconds))

    async def run(self) -> None:
        self.journal.write(event="start")
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self.batch)
            self.tasks.start_soon(self.parts.run)
            await serve_app(make_app(self), self.options.port)


def make_app(engine: Engine) -> Starlette:
    async def set_faults(request: Request) -> Response:
        engine.faults = msgspec.json.decode(await request.body(), type=Faults)
        return Response()

    async def leave(_request: Request) -> Response:
        engine.leave()
        return Response()

    async def export_cache(request: Request) -> Response:
        cache = engine.caches.get(request.path_params["session"])
        if cache is None:
            return Response(status_code=404)
        engine.journal.write(event="export", session=cache.opened.session, held=cache.held)
        return Response(msgspec.msgpack.encode(cache))

    async def import_cache(request: Request) -> Response:
        cache = msgspec.msgpack.decode(await request.body(), type=SessionCache)
        if engine.leaving or not engine._is_held(cache.opened):
            return Response(status_code=409)
        engine.caches[cache.opened.session] = cache
        engine.journal.write(event="import", session=cache.opened.session, held=cache.held)
        return Response()

    async def show(_request: Request) -> Response:
        return JSONResponse({"sessions": len(engine.caches), "queued": len(engine._queue), "fence": engine.parts.fence})

    cache_path = CACHE_PATH + "/{session}"
    return Starlette(
        routes=[
            WebSocketRoute(LINK_PATH, engine.serve_link),
            Route(cache_path, export_cache, methods=["GET"]),
            Route(cache_path, import_cache, methods=["PUT"]),
            Route("/control/faults", set_faults, methods=["POST"]),
            Route("/control/leave", leave, methods=["POST"]),
            Route("/control/state", show, methods=["GET"]),
        ]
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--journal", type=Path)
    parser.add_argument("--layers", type=int, required=True, help="layers of the whole model")
    parser.add_argument("--first", type=int, required=True)
    parser.add_argument("--end", type=int, required=True)
    parser.add_argument("--versions", nargs="+", default=["1"])
    parser.add_argument("--iteration-seconds", type=float, default=0.002)
    parser.add_argument("--token-seconds", type=float, default=0.00002)
    parser.add_argument("--batch-tokens", type=int, default=512)
    parser.add_argument("--max-queue", type=int, default=4096)
    parser.add_argument("--max-sessions", type=int, default=4096)
    parser.add_argument("--leave-seconds", type=float, default=30.0)
    parser.add_argument("--weight-store", help="URL; if given, the engine starts empty and holds what it is ordered to")
    parser.add_argument("--memory-layers", type=int, default=1 << 20)
    parser.add_argument("--no-fence", action="store_true", help="accept orders with any fence")
    options = parser.parse_args()
    anyio.run(Engine(options, Journal(options.journal)).run)


if __name__ == "__main__":
    main()
