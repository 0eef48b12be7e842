"""Which services are prioritized, and what demand reports may name under a configuration."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from vaneturn_core.identifiers import CustomerName, ServiceName
from vaneturn_core.traffic.configuration import Repeatability, TrafficConfiguration, TrafficRoute


@dataclass(frozen=True, slots=True)
class DemandScope:
    """The services, priorities and customers that demand reports may name; nothing without a configuration."""

    priorities: Mapping[ServiceName, frozenset[int]] = field(default_factory=dict)  # of each prioritized service
    customers: frozenset[CustomerName] = frozenset()


def list_prioritized(configuration: TrafficConfiguration) -> frozenset[ServiceName]:
    """List the services whose streaming routes have at least two different priorities.

    Priorities of customers do not count toward this.
    """
    priorities = _group_priorities(configuration)
    return frozenset(service for service, distinct in priorities.items() if len(distinct) > 1)


def derive_scope(configuration: TrafficConfiguration) -> DemandScope:
    """Derive what demand reports may name; a request has the priority of its customer or else of its route."""
    of_customers = {one.priority for one in configuration.customers.values() if one.priority is not None}
    routes = _group_priorities(configuration)
    priorities = {service: frozenset(routes[service] | of_customers) for service in list_prioritized(configuration)}
    return DemandScope(priorities, frozenset(one.name for one in configuration.customers.values()))


def _group_priorities(configuration: TrafficConfiguration) -> Mapping[ServiceName, set[int]]:
    """Group the priorities of the streaming routes in force by the services that get their requests."""
    in_force = {(route.host, route.prefix): route for route in configuration.routes}  # as the index for requests
    priorities: defaultdict[ServiceName, set[int]] = defaultdict(set)
    for route in in_force.values():
        if route.repeatability is Repeatability.STREAM:
            for service in _list_served(route):
                priorities[service].add(route.priority)
    return priorities


def _list_served(route: TrafficRoute) -> list[ServiceName]:
    """List the services that get requests of a route: the only target, or each with a weight."""
    if len(route.targets) == 1:
        return [route.targets[0].service]
    return [target.service for target in route.targets if target.weight > 0]


__all__ = ["DemandScope", "derive_scope", "list_prioritized"]
