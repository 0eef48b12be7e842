"""Finds the route, the customer and the service of a request in the configuration in force."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from vaneturn_core.identifiers import ServiceName
from vaneturn_core.traffic.configuration import TrafficCustomer, TrafficRoute
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.platform.headers import RequestFacts
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.attempts import Attempts
from vaneturn_node.traffic.serving.firstnode import FirstNode
from vaneturn_node.traffic.serving.outcomes import OwnAnswer, Reason, refuse
from vaneturn_node.traffic.serving.requests import RequestContext

NO_CONFIGURATION_RETRY_S: Final = 0.3  # a node reads its configuration within a second of its start
OLD_KEYS_RETRY_S: Final = 0.2  # short, since other nodes may reach the store
STOPPING_RETRY_S: Final = 0.1  # on a new connection, which another node accepts


class RequestRouter:
    """Decides whether a request may be forwarded, and to which service."""

    def __init__(self, parts: TrafficParts, get_time_left: Callable[[], float]) -> None:
        """Create the router.

        :param get_time_left: gives the seconds until requests are aborted by a planned stop; infinite without one.
        """
        self._parts = parts
        self._get_time_left = get_time_left

    def route(
        self, request: ClientRequest, facts: RequestFacts, first_node: FirstNode | None
    ) -> RequestContext | OwnAnswer:
        """Find the route and the customer of a request in the configuration in force, or refuse the request."""
        configuration = self._parts.view.configuration
        if configuration is None:
            return refuse(Reason.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_S, self._parts.first_reading.describe())
        route = configuration.find_route(facts.host, request.path)
        has_valid_keys = self._parts.view.are_keys_valid()
        if route is None:
            return OwnAnswer(404, Reason.NO_ROUTE) if has_valid_keys else refuse(Reason.KEYS_TOO_OLD, OLD_KEYS_RETRY_S)
        key_holder = configuration.customers.get(facts.key) if facts.key is not None else None
        if not route.is_public and configuration.needs_keys:
            if not has_valid_keys:
                return refuse(Reason.KEYS_TOO_OLD, OLD_KEYS_RETRY_S)
            if key_holder is None:
                return OwnAnswer(401, Reason.NO_KEY if facts.key is None else Reason.UNKNOWN_KEY)
        service = self._choose_service(route, facts)
        if isinstance(service, OwnAnswer):
            return service
        # a public route may be used without a key, but not in the name of a customer whose key may have been revoked
        customer = key_holder if has_valid_keys else None
        return RequestContext(
            request=request,
            facts=facts,
            route=route,
            service=service,
            customer=customer,
            is_key_valid=lambda: self._is_key_valid(route, facts, customer),
            crashes=self._parts.crashes,
            is_key_known=lambda: self._is_key_known(facts, customer),
            is_customer_confirmed=lambda: self._is_customer_confirmed(facts, customer),
            key_holder=key_holder,
            first_node=first_node,
            attempts=Attempts(
                is_lost=self._parts.silences.is_lost,
                is_cut_off=lambda: self._parts.connectivity.is_cut_off(service),
            ),
            is_repeatable=lambda: self._is_repeatable(request, facts),
        )

    def _choose_service(self, route: TrafficRoute, facts: RequestFacts) -> ServiceName | OwnAnswer:
        service = _draw_service(route)
        if service is None:
            return refuse(Reason.NO_SERVER, NO_CONFIGURATION_RETRY_S, "all weights of the route are 0")
        # a request may take as long as its time limit; a refusal costs its client less than an answer that is cut
        limit = route.timeout if facts.deadline is None else min(route.timeout, facts.deadline)
        if limit > self._get_time_left():
            return refuse(Reason.STOPPING, STOPPING_RETRY_S)
        return service

    def _is_repeatable(self, request: ClientRequest, facts: RequestFacts) -> bool:
        """Tell whether the configuration in force lets a request run a second time; a removed route says nothing."""
        configuration = self._parts.view.configuration
        route = configuration.find_route(facts.host, request.path) if configuration is not None else None
        return route is None or route.may_repeat

    def _is_key_valid(self, route: TrafficRoute, facts: RequestFacts, customer: TrafficCustomer | None) -> bool:
        """Tell whether the key of a request is still valid in a configuration that the store confirmed recently."""
        configuration = self._parts.view.configuration
        if configuration is None or route.is_public or not configuration.needs_keys:
            return True
        return self._is_customer_confirmed(facts, customer)

    def _is_customer_confirmed(self, facts: RequestFacts, customer: TrafficCustomer | None) -> bool:
        """Tell whether the store confirmed recently that the key of a request belongs to its customer."""
        return self._parts.view.are_keys_valid() and self._is_key_known(facts, customer)

    def _is_key_known(self, facts: RequestFacts, customer: TrafficCustomer | None) -> bool:
        """Tell whether the configuration in force has the key of a request for its customer."""
        configuration = self._parts.view.configuration
        if configuration is None or customer is None or facts.key is None:
            return False
        current = configuration.customers.get(facts.key)
        return current is not None and current.name == customer.name


def _draw_service(route: TrafficRoute) -> ServiceName | None:
    """Choose among the services of a route in proportion to their weights; none if all weights are 0."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [max(0.0, target.weight) for target in route.targets]
    return random.choices(route.targets, weights)[0].service if sum(weights) > 0 else None


__all__ = ["OLD_KEYS_RETRY_S", "STOPPING_RETRY_S", "RequestRouter"]
