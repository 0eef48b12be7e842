"""What a node has seen of the backend servers, and what they have asked of it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from vaneturn_core.traffic.servers import BackendServer, ServerId, ServerLoad, ServerState

FIRST_REST: Final = 0.7  # seconds without new work after a failure; a process restarts in about that time
MAX_REST: Final = 8.0  # seconds; a server that is gone leaves the list sooner
REST_GROWTH: Final = 2.0  # with each failure in a row
FULL_REST: Final = 0.25  # seconds without new work after a refusal for want of room; some requests end in that time
ALIVE_AGE: Final = 0.5  # seconds since a token for which a server that refuses is taken to be full, not lost
LIKELY_FULL: Final = 0.6  # of its memory or places, from which a refusal is for want of room: word is 1 to 2 s old
MEMORY_OF_FAILURES: Final = 12.0  # seconds after which a failure counts as the first again
LATENCY_WEIGHT: Final = 0.25  # of the newest answer in the moving average
ERROR_WEIGHT: Final = 0.2  # of the newest answer in the share of errors
MAX_ERRORS: Final = 0.5  # share of errors from which a server rests; sound ones answer up to 14% of requests so
SLOWNESS_MEMORY: Final = 4.0  # seconds
TOLD_AGE: Final = 1.5  # seconds for which a told load is compared with the own
MAX_SHARE: Final = 3.0  # of the equal share: what was told may be as old as the time above
RETURN_GAP: Final = 0.3  # seconds between requests to a server that asked for rest, until it has taken one
MAX_RESTING_SHARE: Final = 0.5  # of the servers that could be chosen; beyond it, rest counts for nothing


@dataclass(slots=True)
class ServerBelief:
    """What this node has seen of one server."""

    in_progress: int = 0
    heard_at: float = float("-inf")  # when a token last came over a chain with this server
    reserved: float = 0.0  # tokens times layers of the requests in progress from this node
    latency: float = 0.0  # moving average of whole answers or first events, seconds
    failures: int = 0  # in a row
    failed_at: float = float("-inf")
    full_until: float = float("-inf")  # until when it rests for want of room
    told_until: float = float("-inf")  # until when it rests as other nodes have found it lost
    found_until: float = float("-inf")  # until when it rests after failures seen by this node
    permit_at: float = float("-inf")  # when it may next have room for a request from this node, by its rate limit
    rest_until: float = float("-inf")  # until when it asked for no request from this node
    returned_at: float = float("-inf")  # when a request last went there after a rest, to see whether it takes any
    is_returning: bool = False  # it has not taken a request since it asked for rest
    is_leaving: bool = False  # it said so in an answer; the list may show that later
    is_replaced: bool = False  # its address answered under another id
    slowness: float = 1.0  # told by the server: over 1, it is slower than its kind
    slowness_at: float = float("-inf")
    leading: int = 0  # requests from this node that it is the first server of
    told_load: int = 0  # requests running and waiting there from all nodes, as the server said last
    told_at: float = float("-inf")
    errors: float = 0.0  # share of its newest answers that were failures of its own

    @property
    def resting_until(self) -> float:
        """Give the time until which it gets no new work."""
        return max(self.full_until, self.told_until, self.found_until)

    def may_take_request(self, now: float) -> bool:
        """Tell whether the server accepts requests from this node, by what it has asked for itself.

        Parts of a chain after the first get their work from other servers, so this does not concern them.
        """
        return self.permit_at <= now and not self.is_closed(now)

    def is_closed(self, now: float) -> bool:
        """Tell whether it asked for no requests, or is tried by a first one after that."""
        is_tried = self.is_returning and now < self.returned_at + RETURN_GAP
        return self.is_leaving or now < self.rest_until or is_tried

    def compute_wait(self, now: float) -> float:
        """Compute the seconds until it may take a request, unless it leaves."""
        returns_at = self.returned_at + RETURN_GAP if self.is_returning else self.rest_until
        return max(0.0, max(self.permit_at, self.rest_until, returns_at) - now)

    def claim_send(self, now: float) -> bool:
        """Ask right before a send whether it may be made; false when it may not."""
        if self.is_closed(now):
            return False
        if self.is_returning:
            self.returned_at = now
        return True

    def take_rest(self, until: float) -> None:
        """Take note that the server wants no request from this node until a time; the latest time holds."""
        self.rest_until = max(self.rest_until, until)
        self.is_returning = True

    def note_taken(self, sent_at: float) -> None:
        """Take note that the server has taken a request that was sent at a time."""
        if sent_at >= self.rest_until:
            self.is_returning = False

    def record_success(self, seconds: float) -> None:
        """Take an answer into the average; failures before it count no more."""
        self.failures = 0
        self.latency = seconds if not self.latency else self.latency + LATENCY_WEIGHT * (seconds - self.latency)

        self.errors *= 1 - ERROR_WEIGHT

    def record_token(self, now: float) -> None:
        """Take a token that came over a chain with this server; losses found or told before it count no more."""
        self.heard_at = now
        self.failures = 0
        self.found_until = self.told_until = float("-inf")

    def record_error(self, now: float) -> None:
        """Take a failure that the server itself reported; a server that reports many of them rests."""
        self.errors += ERROR_WEIGHT * (1 - self.errors)
        if self.errors > MAX_ERRORS:
            self.errors = 0.0
            self.record_failure(now)

    def take_load(self, load: int, now: float) -> None:
        """Take what a server said of its load."""
        self.told_load = load
        self.told_at = now

    def take_slowness(self, slowness: float, now: float) -> None:
        """Take what a server said of its speed."""
        self.slowness = slowness
        self.slowness_at = now

    def read_slowness(self, now: float) -> float:
        """Read its slowness; what was said long ago counts for nothing, so that it is tried again."""
        return self.slowness if now - self.slowness_at < SLOWNESS_MEMORY else 1.0

    def record_refusal(self, now: float, fullness: float = 0.0) -> None:
        """Take a refusal; a server that has worked a moment ago, or was nearly full, lacks room, and has some soon.

        With the rest of a lost server, up to 8 s, two full servers left no chain: 180 requests of a day were refused.

        :param fullness: share of its memory or places taken, by what nodes tell.
        """
        if now - self.heard_at > ALIVE_AGE and fullness < LIKELY_FULL:
            self.record_failure(now)
            return
        self.full_until = max(self.full_until, now + FULL_REST)

    def take_told_loss(self, until: float, now: float) -> bool:
        """Take over that other nodes leave it alone until a time; false when this node has just heard from it."""
        if now - self.heard_at <= ALIVE_AGE or until <= self.resting_until:
            return False
        self.told_until = until
        return True

    def record_failure(self, now: float) -> float:
        """Count a failure; gives the seconds for which the server gets no new work."""
        if now - self.failed_at > MEMORY_OF_FAILURES:
            self.failures = 0
        rest = min(MAX_REST, FIRST_REST * REST_GROWTH**self.failures)
        self.failures += 1
        self.failed_at = now
        self.found_until = now + rest
        return rest


class ServerBeliefs:
    """The beliefs about all servers in the list."""

    def __init__(self) -> None:
        self._beliefs: dict[ServerId, ServerBelief] = {}

    def __getitem__(self, server: ServerId) -> ServerBelief:
        return self._beliefs.setdefault(server, ServerBelief())

    @property
    def heard_at(self) -> float:
        """Give when a token last came over any chain, steady time."""
        return max((belief.heard_at for belief in self._beliefs.values()), default=float("-inf"))

    def list_loads(self) -> dict[ServerId, ServerLoad]:
        """List what this node has in progress on each server."""
        return {
            server: ServerLoad(belief.leading, round(belief.reserved))
            for server, belief in self._beliefs.items()
            if belief.in_progress
        }

    def list_found(self, now: float) -> dict[ServerId, float]:
        """List the servers that failed for this node, with the time until which it leaves them alone."""
        return {server: belief.found_until for server, belief in self._beliefs.items() if belief.found_until > now}

    def estimate_share(self, nodes: int, now: float) -> float:
        """Estimate how many times this node's own requests are in progress over all nodes.

        Servers tell the requests that they are the first of; without fresh word, nodes are taken to be alike.
        """
        told = own = 0
        for belief in self._beliefs.values():
            if belief.leading and now - belief.told_at < TOLD_AGE:
                told += belief.told_load
                own += belief.leading
        if not own:
            return float(nodes)
        return min(max(1.0, told / own), MAX_SHARE * nodes)

    def forget_absent(self, present: Mapping[ServerId, BackendServer]) -> None:
        """Forget the servers that have left the list, unless requests are still in progress there."""
        for server in [one for one, belief in self._beliefs.items() if one not in present and not belief.in_progress]:
            del self._beliefs[server]

    def _is_out(self, server: ServerId) -> bool:
        belief = self[server]
        return belief.is_replaced or belief.is_leaving

    def list_choosable(
        self, servers: Iterable[BackendServer], avoided: Iterable[ServerId], now: float
    ) -> list[BackendServer]:
        """List the servers that may get new work; if too many of them rest, those that rest as well."""
        excluded = set(avoided)
        able = [
            server
            for server in servers
            if server.state is ServerState.READY and server.id not in excluded and not self._is_out(server.id)
        ]
        awake = [server for server in able if self[server.id].resting_until <= now]
        return awake if len(awake) >= MAX_RESTING_SHARE * len(able) else able


__all__ = ["ServerBelief", "ServerBeliefs"]
