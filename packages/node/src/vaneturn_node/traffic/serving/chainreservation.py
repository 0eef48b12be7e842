"""The chain of one try: what it reserves on the servers, and what it records about them."""

from __future__ import annotations

from vaneturn_core.traffic.chain import Chain, Part
from vaneturn_core.traffic.chains import ChainChooser
from vaneturn_core.traffic.servers import BackendServer, ServerAddress
from vaneturn_node.clock import read_clock
from vaneturn_node.platform.headers import AnswerFacts
from vaneturn_node.platform.servers import OrderOutcome
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.requests import RequestContext
from vaneturn_node.traffic.serving.sends import Send


class ChainReservation:
    """The chain of a try, which a detour may change; it counts as load on its servers while it is reserved."""

    def __init__(self, parts: TrafficParts, context: RequestContext, chooser: ChainChooser, chain: Chain) -> None:
        self._parts = parts
        self._context = context
        self._chooser = chooser
        self.chain = chain
        self.is_reserved = False
        self.reserved_at = 0.0  # monotonic time
        self.sent_at = 0.0  # monotonic time at which the request was sent to the first server
        self.send: Send | None = None  # to the first server
        self.is_unknown = False  # the first server has said that it does not know the request

    @property
    def first_server(self) -> BackendServer:
        """Give the first server, which receives the request and sends the answer."""
        return self.chain.first

    def reserve(self) -> None:
        """Reserve the slots and the memory of the request on every server of the chain."""
        self.is_reserved = True
        self.reserved_at = read_clock()
        parts_text = " ".join(f"{part.server.id}[{part.first},{part.end})" for part in self.chain.parts)
        first_event = self._chooser.estimate_first_event(self.chain)
        expected = "" if first_event is None else f", first event in {first_event:.3f}s"
        fullness = self._chooser.estimate_fullness(self.chain)
        self._context.add_step(f"over {parts_text}, fullest {fullness:.2f}{expected}")
        self._adjust_load(1)

    def cancel(self) -> None:
        """Release what was reserved."""
        self.is_reserved = False
        self._adjust_load(-1)

    def count_run(self) -> None:
        """Count the first server as an attempt, as the request may have run there.

        One that does not know the request counts too: bytes that its path has held up may still reach it.
        """
        self._context.attempts.record(self.first_server.id)

    def undo_run_count(self) -> None:
        """Count the first server no more, as it has ended or is cut off."""
        self._context.attempts.drop(self.first_server.id)

    def record_working(self) -> None:
        """Record that every part of the chain has just worked."""
        now = read_clock()
        self._context.attempts.record(self.first_server.id)  # it may have seemed to be cut off
        self._parts.silences.record_heard(self.first_server.id)
        for part in self.chain.parts:
            self._parts.beliefs[part.server.id].record_token(now)
            self._context.avoided.discard(part.server.id)
        self._context.wait_steps.clear()
        self._context.spent_at = None

    def record_lost_part(self, part: Part) -> None:
        """Record the loss of a part, once while it is unresponsive."""
        if part.server.id not in self._context.avoided:
            self._context.avoided.add(part.server.id)
            self._parts.record_loss(part.server.id)

    def record_refusal(self, facts: AnswerFacts) -> BackendServer:
        """Record a refusal; return the server at fault, which is the first one unless the refusal names another."""
        faulty = self.first_server if facts.faulty is None else self._find_server(facts.faulty)
        self._context.avoided.add(faulty.id)
        if facts.is_wrong_server and facts.faulty is None:
            self._parts.beliefs[faulty.id].is_replaced = True
        elif facts.faulty is not None:  # down, without the layers, or full: spares later requests the same refusal
            fullness = self._chooser.estimate_server(faulty, is_first=faulty is self.first_server)
            self._parts.record_refusal(faulty.id, fullness)
        return faulty

    def find_detour(self) -> Chain | None:
        """Find a chain that replaces the parts on servers that the request avoids; None if there is none.

        The first part stays, since its server sends the answer.
        """
        candidates = self._parts.list_eligible(self._context.service, self._context.avoided)
        kept = [part for part in self.chain.parts if part is self.chain.parts[0] or not self._is_avoided(part)]
        parts: list[Part] = []
        for part in self.chain.parts:
            if part in kept:
                parts.append(part)
                continue
            others = [*kept, *(added for added in parts if added not in kept)]
            replacement = self._chooser.choose_replacement(candidates, others, part)
            if not replacement:
                return None
            parts += replacement
        return Chain(self.chain.layers, tuple(parts))

    async def is_known_to_server(self) -> bool:
        """Ask the first server whether it runs the request; true unless it says that it does not."""
        assert self._context.facts.id is not None  # noqa: S101 # a request without an id is not admitted
        parts = list(self.chain.parts)  # ordered to stay on its chain, a request runs on as before
        outcome = await self._parts.calls.reroute_request(self.first_server, self._context.facts.id, parts)
        self.is_unknown = outcome is OrderOutcome.NOT_FOUND
        return not self.is_unknown

    async def order_detour(self, chain: Chain) -> OrderOutcome:
        """Order the first server to run the rest of the request over another chain."""
        assert self._context.facts.id is not None  # noqa: S101 # a request without an id is not admitted
        outcome = await self._parts.calls.reroute_request(self.first_server, self._context.facts.id, list(chain.parts))
        added = [part.server.id for part in chain.parts if part not in self.chain.parts]
        self._context.add_step(f"detour over {added} {outcome.value}")
        if outcome is OrderOutcome.TAKEN:
            self._adjust_load(-1)
            self.chain = chain
            self._adjust_load(1)
        elif outcome is OrderOutcome.CONFLICT:  # one of them has no free capacity, or no longer holds its part
            self._context.avoided.update(added)
        return outcome

    def _is_avoided(self, part: Part) -> bool:
        return part.server.id in self._context.avoided

    def _adjust_load(self, sign: int) -> None:
        for part in self.chain.parts:
            server_status = self._parts.beliefs[part.server.id]
            server_status.in_progress += sign
            server_status.leading += sign * (part is self.chain.parts[0])
            server_status.reserved += sign * self._chooser.tokens * (part.end - part.first)

    def _find_server(self, address: ServerAddress) -> BackendServer:
        return next((part.server for part in self.chain.parts if part.server.address == address), self.first_server)


__all__ = ["ChainReservation"]
