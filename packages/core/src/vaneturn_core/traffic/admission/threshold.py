"""Which requests of a prioritized service are admitted: shares by priority and customer from the sums of all nodes.

All nodes compute their shares from the same sums, so no messages pass for a single request.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from vaneturn_core.identifiers import CustomerName
from vaneturn_core.traffic.admission.capacity import CapacityEstimate
from vaneturn_core.traffic.admission.customers import CustomerRates
from vaneturn_core.traffic.admission.demand import ServiceDemand
from vaneturn_core.traffic.admission.projection import Projection, count_arrivals, count_in_progress, project
from vaneturn_core.traffic.blame.contents import Content

FLOOR: Final = 0.5  # of the mean admitted share, for each priority
MAX_RISE_PER_S: Final = 0.2  # of a share: figures are up to 3 s old
CORRECTION_S: Final = 5.0  # in which an excess over the limit is corrected; oscillates below twice the age of figures
OVER_RATE: Final = 0.75  # of the share of its priority: a customer admitted less is refused at once, not let wait
DRAW_CYCLE_S: Final = 2.5  # in which a draw takes all values; four tries at once that wait gain at 2 s or less


@dataclass(frozen=True, slots=True)
class AdmissionShares:
    """What is admitted while the limit is reached."""

    by_priority: Mapping[int, float]  # 0 to 1, admitted share of the arrivals
    customer_rate: Mapping[int, float]  # by priority: largest admitted requests per second of one customer
    projection: Projection = field(default_factory=Projection)

    def find_share(self, priority: int) -> float:
        """Return the share of a priority; one without arrivals has that of the next more urgent one."""
        urgent = [other for other in self.by_priority if other <= priority]
        return self.by_priority[max(urgent)] if urgent else 1.0

    def average(self, demand: ServiceDemand) -> float:
        """Return the admitted share of all arrivals."""
        total = count_arrivals(demand)
        admitted = sum(figures.arrivals * self.find_share(p) for p, figures in demand.by_priority.items())
        return admitted / total if total > 0 else 1.0


class Verdict(Enum):
    """What happens to a request."""

    ADMIT = "admit"
    WAIT = "wait"  # it is refused if the queue does not take it
    REFUSE = "refuse"  # its customer is over its rate


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict and the figures behind it, for the log."""

    verdict: Verdict
    share: float
    customer_rate: float
    in_progress: float
    limit: float
    age: float


def compute_shares(
    demand: ServiceDemand, capacity: CapacityEstimate, previous: AdmissionShares | None, elapsed: float
) -> AdmissionShares:
    """Compute the shares from new sums.

    :param elapsed: seconds since the previous shares.
    """
    before = Projection() if previous is None else previous.projection
    share = 1.0 if previous is None else previous.average(demand)
    projection = project(demand, capacity, before, share, elapsed)
    arrivals = {priority: figures.arrivals for priority, figures in demand.by_priority.items() if figures.arrivals > 0}
    room = max(0.0, capacity.rate + (capacity.limit - projection.in_progress) / CORRECTION_S)
    shares = _divide(arrivals, room / projection.effect)
    if previous is not None:
        rise = MAX_RISE_PER_S * elapsed
        shares = {priority: min(share, previous.find_share(priority) + rise) for priority, share in shares.items()}
    rates = {
        priority: CustomerRates(demand, priority).compute_limit(share) if share < 1 else math.inf
        for priority, share in shares.items()
    }
    return AdmissionShares(shares, rates, projection)


def _divide(arrivals: Mapping[int, float], room: float) -> dict[int, float]:
    """Divide the admitted requests per second among the priorities, from the most urgent to the least urgent."""
    total = sum(arrivals.values())
    if total <= room:
        return dict.fromkeys(arrivals, 1.0)
    floor = FLOOR * room / total
    remaining = room - floor * total
    shares: dict[int, float] = {}
    largest = 1.0  # of the more urgent ones; a sum is not exact
    for priority in sorted(arrivals):
        extra = min(remaining, (1 - floor) * arrivals[priority])
        shares[priority] = largest = max(0.0, min(largest, floor + extra / arrivals[priority]))
        remaining -= extra
    return shares


def decide(
    demand: ServiceDemand,
    capacity: CapacityEstimate,
    shares: AdmissionShares,
    *,
    admitted_since: int,
    priority: int,
    customer: CustomerName | None,
    draw: float,
) -> Decision:
    """Decide about one request.

    :param admitted_since: requests that this node admitted since the newest report.
    :param draw: number from 0 to 1 that is fixed for the request, see `fix_draw`.
    """
    projected = shares.projection.extrapolate(demand, capacity, shares.average(demand))
    in_progress = max(projected, float(count_in_progress(demand) + admitted_since))
    share = shares.find_share(priority)
    limit = shares.customer_rate.get(priority, math.inf)
    verdict = Verdict.ADMIT
    if in_progress >= capacity.limit:
        customer_share = CustomerRates(demand, priority).compute_share(customer, share, limit)
        if draw >= customer_share:
            verdict = Verdict.REFUSE if customer_share < OVER_RATE * share else Verdict.WAIT
    return Decision(verdict, share, limit, in_progress, capacity.limit, demand.age)


def fix_draw(content: Content, now: float) -> float:
    """Return the draw of a request, which falls from 1 to 0 again and again, for each content at other times.

    It is the same on all nodes, and nearly the same on the tries of a client that retries at once, which thus gains
    nothing. A refused request that comes again later has a smaller draw than before, and comes before new ones.

    :param now: Unix time, as the monotonic clocks of nodes differ; a wrong clock only gives other draws.
    """
    return (content / 2**64 - now / DRAW_CYCLE_S) % 1.0


__all__ = ["AdmissionShares", "Decision", "Verdict", "compute_shares", "decide", "fix_draw"]
