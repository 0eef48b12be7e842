"""What one try takes of the servers of its chain, and what it sees of them."""

from __future__ import annotations

from vaneturn_core.traffic.chain import Chain, Part
from vaneturn_core.traffic.chains import ChainChooser
from vaneturn_core.traffic.servers import BackendServer, ServerAddress
from vaneturn_node.clock import read_clock
from vaneturn_node.platform.headers import AnswerFacts
from vaneturn_node.platform.servers import OrderOutcome
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.requests import RequestInProgress


class ChainHold:
    """The chain of a try, which a detour may change; its places and memory are counted while it is taken."""

    def __init__(self, parts: TrafficParts, work: RequestInProgress, chooser: ChainChooser, chain: Chain) -> None:
        self._parts = parts
        self._work = work
        self._chooser = chooser
        self.chain = chain
        self.is_taken = False
        self.taken_at = 0.0  # steady time
        self.sent_at = 0.0  # steady time at which the request went to the first server
        self.is_counted = False  # as a run

    @property
    def first(self) -> BackendServer:
        """Give the server that takes the request and answers it."""
        return self.chain.first

    def take(self) -> None:
        """Count the request on every server of the chain."""
        self.is_taken = True
        self.taken_at = read_clock()
        over = " ".join(f"{part.server.id}[{part.first},{part.end})" for part in self.chain.parts)
        self._work.note(f"over {over}, fullest {self._chooser.estimate_fullness(self.chain):.2f}")
        self._reserve(1)

    def give_back(self) -> None:
        """Count it no more."""
        self.is_taken = False
        self._reserve(-1)

    def count_run(self) -> None:
        """Count that the request may have run on the first server, once for each try."""
        if not self.is_counted:
            self.is_counted = True
            self._work.runs += 1

    def uncount_run(self) -> None:
        """Count it no more: runs on servers that have ended do not count."""
        if self.is_counted:
            self.is_counted = False
            self._work.runs -= 1

    def note_heard(self) -> None:
        """Take note that every part of the chain has just worked."""
        now = read_clock()
        for part in self.chain.parts:
            self._parts.beliefs[part.server.id].record_token(now)
            self._work.avoided.discard(part.server.id)
        self._work.waits.clear()

    def note_part_lost(self, part: Part) -> None:
        """Take note of a lost part, once while it is silent."""
        if part.server.id not in self._work.avoided:
            self._work.avoided.add(part.server.id)
            self._parts.note_lost(part.server.id)

    def note_refusal(self, facts: AnswerFacts) -> BackendServer:
        """Take note of a refusal, which names the part of the chain at fault; gives its server."""
        faulty = self.first if facts.faulty is None else self._find_server(facts.faulty)
        self._work.avoided.add(faulty.id)
        if facts.is_wrong_server and facts.faulty is None:
            self._parts.beliefs[faulty.id].is_replaced = True
        elif facts.faulty is not None:  # dead, without the layers, or full: the next requests need not find out again
            fullness = self._chooser.estimate_server(faulty, is_first=faulty is self.first)
            self._parts.note_refusal(faulty.id, fullness)
        return faulty

    def find_detour(self) -> Chain | None:
        """Find a chain with other servers for the parts on those that the request avoids; none when there are none.

        The first part stays: its server makes the answer.
        """
        choosable = self._parts.list_choosable(self._work.service, self._work.avoided)
        kept = [part for part in self.chain.parts if part is self.chain.parts[0] or not self._is_avoided(part)]
        parts: list[Part] = []
        for part in self.chain.parts:
            if part in kept:
                parts.append(part)
                continue
            others = [*kept, *(one for one in parts if one not in kept)]
            replacement = self._chooser.choose_replacement(choosable, others, part)
            if not replacement:
                return None
            parts += replacement
        return Chain(self.chain.layers, tuple(parts))

    async def order_detour(self, chain: Chain) -> OrderOutcome:
        """Order the first server to take the request over another chain from now on."""
        assert self._work.facts.id is not None  # noqa: S101 # without an id a request is not let in
        outcome = await self._parts.calls.reroute_request(self.first, self._work.facts.id, list(chain.parts))
        added = [part.server.id for part in chain.parts if part not in self.chain.parts]
        self._work.note(f"detour over {added} {outcome.value}")
        if outcome is OrderOutcome.TAKEN:
            self._reserve(-1)
            self.chain = chain
            self._reserve(1)
        elif outcome is OrderOutcome.CONFLICT:  # one of them has no room, or does not hold its part any more
            self._work.avoided.update(added)
        return outcome

    def _is_avoided(self, part: Part) -> bool:
        return part.server.id in self._work.avoided

    def _reserve(self, sign: int) -> None:
        for part in self.chain.parts:
            belief = self._parts.beliefs[part.server.id]
            belief.in_progress += sign
            belief.leading += sign * (part is self.chain.parts[0])
            belief.reserved += sign * self._chooser.tokens * (part.end - part.first)

    def _find_server(self, address: ServerAddress) -> BackendServer:
        return next((part.server for part in self.chain.parts if part.server.address == address), self.first)


__all__ = ["ChainHold"]
