"""The status of each backend server: what this node has observed, what others reported, what the server asked for."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from vaneturn_core.backoff import compute_backoff
from vaneturn_core.traffic.servers import BackendServer, ServerId, ServerLoad, ServerState

FIRST_BACKOFF_S: Final = 0.7  # after a first failure; about the time that a process takes to restart
MAX_BACKOFF_S: Final = 8.0  # a server that has ended leaves the list sooner
FULL_BACKOFF_S: Final = 0.25  # after a refusal by a full server; some of its requests end in that time
ALIVE_AGE_S: Final = 0.5  # a server that sent a token within this time and refuses is full, not lost
# share of memory or places in use from which a refusal is taken as lack of capacity; below 1, since reported loads are
# 1 to 2 s old
LIKELY_FULL_SHARE: Final = 0.6
FAILURE_MEMORY_S: Final = 12.0  # a failure after a longer gap counts as the first again
LATENCY_WEIGHT: Final = 0.25  # of the newest answer in the moving average
ERROR_WEIGHT: Final = 0.2  # of the newest answer in the moving error rate
MAX_ERROR_RATE: Final = 0.5  # error rate above which a server is backed off; healthy servers reach 14%
MAX_SLOWNESS_AGE_S: Final = 4.0  # time for which a reported slowness is used
MAX_LOAD_AGE_S: Final = 1.5  # time for which a load that a server reported is compared with this node's own
MAX_LOAD_FACTOR: Final = 3.0  # times the equal share; needed since a reported load may be MAX_LOAD_AGE_S old
TRIAL_INTERVAL_S: Final = 0.3  # time between trial requests after a rest, until the server has accepted one
MAX_BACKOFF_SHARE: Final = 0.5  # of the eligible servers; if more are backed off, backoffs are ignored


@dataclass(slots=True)
class ServerStatus:
    """The status of one server as this node knows it; all times are monotonic."""

    in_progress: int = 0
    token_at: float = float("-inf")  # when a chain with this server last delivered a token
    reserved: float = 0.0  # tokens times layers of the requests in progress from this node
    latency: float = 0.0  # seconds; moving average over whole answers or first events
    failures: int = 0  # consecutive
    failed_at: float = float("-inf")
    full_until: float = float("-inf")  # end of the backoff for lack of capacity
    reported_until: float = float("-inf")  # end of the backoff after losses that other nodes reported
    failed_until: float = float("-inf")  # end of the backoff after failures seen by this node
    permit_at: float = float("-inf")  # earliest time at which its rate limit may allow a request from this node
    rest_until: float = float("-inf")  # end of the rest that the server asked for
    trial_at: float = float("-inf")  # when the last trial request after a rest was sent
    is_returning: bool = False  # it has not accepted a request since it asked for rest
    is_leaving: bool = False  # it said so in an answer; the list may show that later
    is_replaced: bool = False  # its address answered with another id
    slowness: float = 1.0  # reported by the server; above 1, it is slower than its kind
    slowness_at: float = float("-inf")
    leading: int = 0  # requests from this node whose first server it is
    reported_load: int = 0  # requests running and waiting there from all nodes, as last reported by the server
    reported_at: float = float("-inf")
    error_rate: float = 0.0  # moving average: share of answers that were failures of the server itself

    @property
    def backoff_until(self) -> float:
        """Return the end of the longest backoff; until then the server gets no new work."""
        return max(self.full_until, self.reported_until, self.failed_until)

    def counts_as_capacity(self, now: float) -> bool:
        """Tell whether it runs requests, as far as is known; refusals by full servers do not matter here."""
        return not (self.is_replaced or self.is_leaving or self.failed_until > now or self.reported_until > now)

    def may_take_request(self, now: float) -> bool:
        """Tell whether its rate limit and the rest it asked for allow a request from this node.

        Only the first server of a chain gets requests from nodes, so this does not apply to the later parts.
        """
        return self.permit_at <= now and not self.is_closed(now)

    def is_closed(self, now: float) -> bool:
        """Tell whether it is leaving, is at rest, or has a trial request pending after its rest."""
        is_trial_pending = self.is_returning and now < self.trial_at + TRIAL_INTERVAL_S
        return self.is_leaving or now < self.rest_until or is_trial_pending

    def compute_wait(self, now: float) -> float:
        """Compute the seconds until it may get a request, unless it is leaving."""
        returns_at = self.trial_at + TRIAL_INTERVAL_S if self.is_returning else self.rest_until
        return max(0.0, max(self.permit_at, self.rest_until, returns_at) - now)

    def claim_send(self, now: float) -> bool:
        """Claim permission for a send, right before it is made; false when the server is closed."""
        if self.is_closed(now):
            return False
        if self.is_returning:
            self.trial_at = now
        return True

    def take_rest(self, until: float) -> None:
        """Record that the server wants no request from this node until a time; the latest such time applies."""
        self.rest_until = max(self.rest_until, until)
        self.is_returning = True

    def note_taken(self, sent_at: float) -> None:
        """Record that the server has accepted a request; one sent before the end of the rest proves nothing."""
        if sent_at >= self.rest_until:
            self.is_returning = False

    def record_success(self, seconds: float) -> None:
        """Record an answer in the averages and reset the count of failures."""
        self.failures = 0
        self.latency = seconds if not self.latency else self.latency + LATENCY_WEIGHT * (seconds - self.latency)

        self.error_rate *= 1 - ERROR_WEIGHT

    def record_token(self, now: float) -> None:
        """Record a token from a chain with this server; it ends backoffs for failures and reported losses."""
        self.token_at = now
        self.failures = 0
        self.failed_until = self.reported_until = float("-inf")

    def record_error(self, now: float) -> None:
        """Record an error answer of the server itself; a high error rate counts as a failure."""
        self.error_rate += ERROR_WEIGHT * (1 - self.error_rate)
        if self.error_rate > MAX_ERROR_RATE:
            self.error_rate = 0.0
            self.record_failure(now)

    def take_load(self, load: int, now: float) -> None:
        """Record the load that the server reported."""
        self.reported_load = load
        self.reported_at = now

    def take_slowness(self, slowness: float, measured_at: float) -> None:
        """Record the slowness that the server reported; the newest report applies."""
        if measured_at >= self.slowness_at:
            self.slowness = slowness
            self.slowness_at = measured_at

    def get_slowness(self, now: float) -> float:
        """Return its slowness; an old report is ignored, so that the server is used again."""
        return self.slowness if now - self.slowness_at < MAX_SLOWNESS_AGE_S else 1.0

    def record_refusal(self, now: float, fullness: float = 0.0) -> None:
        """Record a refusal: a short backoff if the server is probably full, a failure otherwise.

        It is probably full if it sent a token a moment ago or was reported nearly full, and has capacity again soon.
        With the backoff of a lost server, up to 8 s, two full servers left no chain and caused 180 refusals in a day.

        :param fullness: share of its memory or places in use, as reported by nodes.
        """
        if now - self.token_at > ALIVE_AGE_S and fullness < LIKELY_FULL_SHARE:
            self.record_failure(now)
            return
        self.full_until = max(self.full_until, now + FULL_BACKOFF_S)

    def record_reported_loss(self, until: float, now: float) -> bool:
        """Adopt the backoff of other nodes; false when a token came just now or the backoff is no longer than known."""
        if now - self.token_at <= ALIVE_AGE_S or until <= self.backoff_until:
            return False
        self.reported_until = until
        return True

    def record_failure(self, now: float) -> float:
        """Record a failure and return the seconds of backoff."""
        if now - self.failed_at > FAILURE_MEMORY_S:
            self.failures = 0
        rest = compute_backoff(FIRST_BACKOFF_S, MAX_BACKOFF_S, self.failures)
        self.failures += 1
        self.failed_at = now
        self.failed_until = now + rest
        return rest


class ServerStatuses:
    """The status of all servers in the list."""

    def __init__(self) -> None:
        self._statuses: dict[ServerId, ServerStatus] = {}

    def __getitem__(self, server: ServerId) -> ServerStatus:
        status = self._statuses.get(server)
        if status is None:
            status = self._statuses[server] = ServerStatus()
        return status

    @property
    def newest_token_at(self) -> float:
        """Return the monotonic time at which the last token came over any chain."""
        return max((status.token_at for status in self._statuses.values()), default=float("-inf"))

    def list_loads(self) -> dict[ServerId, ServerLoad]:
        """List what this node has in progress on each server."""
        return {
            server: ServerLoad(status.leading, round(status.reserved))
            for server, status in self._statuses.items()
            if status.in_progress
        }

    def list_failed(self, now: float) -> dict[ServerId, float]:
        """List the servers that are backed off after failures seen by this node, with the end of each backoff."""
        return {server: status.failed_until for server, status in self._statuses.items() if status.failed_until > now}

    def list_all(self) -> Mapping[ServerId, ServerStatus]:
        """List the status of each known server."""
        return self._statuses

    def estimate_share(self, nodes: int, now: float) -> float:
        """Estimate the ratio of the requests in progress from all nodes to those from this node.

        It compares the loads that first servers report with this node's own; without a recent report, all nodes are
        assumed to have the same load.
        """
        reported_total = own_total = 0
        for status in self._statuses.values():
            if status.leading and now - status.reported_at < MAX_LOAD_AGE_S:
                reported_total += status.reported_load
                own_total += status.leading
        if not own_total:
            return float(nodes)
        return min(max(1.0, reported_total / own_total), MAX_LOAD_FACTOR * nodes)

    def forget_absent(self, present: Mapping[ServerId, BackendServer]) -> None:
        """Drop the status of servers that have left the list, unless they still have requests in progress."""
        for server in [
            known for known, status in self._statuses.items() if known not in present and not status.in_progress
        ]:
            del self._statuses[server]

    def _is_excluded(self, server: ServerId) -> bool:
        status = self[server]
        return status.is_replaced or status.is_leaving

    def list_eligible(
        self, servers: Iterable[BackendServer], avoided: Iterable[ServerId], now: float
    ) -> list[BackendServer]:
        """List the servers that may get new work; if too many are backed off, these are included."""
        excluded = set(avoided)
        eligible = [
            server
            for server in servers
            if server.state is ServerState.READY and server.id not in excluded and not self._is_excluded(server.id)
        ]
        available = [server for server in eligible if self[server.id].backoff_until <= now]
        return available if len(available) >= MAX_BACKOFF_SHARE * len(eligible) else eligible

    def list_unfailed(self, servers: Iterable[BackendServer], now: float) -> list[BackendServer]:
        """List the ready servers without a backoff for failures; those in backoff because they are full are listed."""
        return [
            server
            for server in servers
            if server.state is ServerState.READY
            and ((status := self._statuses.get(server.id)) is None or status.counts_as_capacity(now))
        ]


__all__ = ["ServerStatus", "ServerStatuses"]
