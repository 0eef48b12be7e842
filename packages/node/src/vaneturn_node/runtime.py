"""The components of a running node that its request handlers share."""

from __future__ import annotations

from dataclasses import dataclass

import httpx

from vaneturn_core.configuration.schema import Customer
from vaneturn_core.identifiers import NodeId, RequestId
from vaneturn_core.limits.retrybudget import RetryBudget
from vaneturn_core.ports import KeyValueService
from vaneturn_core.routing.health import ServerHealths
from vaneturn_core.settings import NodeSettings
from vaneturn_node.answers.generation import Generation
from vaneturn_node.answers.moving import Mover
from vaneturn_node.answers.placement import Placement
from vaneturn_node.claims.ownership import SlotOwnership
from vaneturn_node.claims.ports import Claims
from vaneturn_node.configuration.changes import Changes
from vaneturn_node.configuration.inforce import ConfigurationInForce
from vaneturn_node.http.accounting import Account
from vaneturn_node.http.ended import EndedRequests
from vaneturn_node.limits.admission import Admission
from vaneturn_node.metrics import Metrics
from vaneturn_node.peers.requests import PeerClient
from vaneturn_node.placing.tenure import Tenure
from vaneturn_node.stages.pool import LinkPool


@dataclass(frozen=True)
class Runtime:
    """The shared components; the daemon makes one instance per process."""

    settings: NodeSettings
    node: NodeId
    metrics: Metrics
    store: KeyValueService
    in_force: ConfigurationInForce
    changes: Changes
    claims: Claims
    ownership: SlotOwnership
    tenure: Tenure
    peer_client: PeerClient
    admission: Admission
    retry_budget: RetryBudget
    healths: ServerHealths
    pool: LinkPool
    placement: Placement
    mover: Mover
    client: httpx.AsyncClient
    generations: dict[RequestId, Generation]
    ended: EndedRequests


def open_account(runtime: Runtime, customer: Customer, target: str) -> Account:
    """Open the account of a request that was parsed and validated."""
    return Account(runtime.metrics, runtime.ended, runtime.settings.vm, customer, target)


__all__ = ["Runtime", "open_account"]
