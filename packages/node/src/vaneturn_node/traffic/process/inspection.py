"""Operators' HTTP interface: metrics, the state of the node, and how a request ended."""

from __future__ import annotations

import logging
from collections import Counter
from typing import Final

import msgspec

from vaneturn_core.identifiers import NodeId, RequestId, VmId
from vaneturn_core.traffic.blame.causes import Cause, describe_kind
from vaneturn_core.traffic.blame.contents import format_identity, parse_identity
from vaneturn_core.traffic.servers import BackendServer
from vaneturn_core.traffic.state import SeenBlock, SeenServer, TrafficState
from vaneturn_node.clock import read_clock
from vaneturn_node.errors import UnexpectedErrors
from vaneturn_node.http1.clientanswer import ClientAnswer
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.traffic.duties.tenure import Tenure
from vaneturn_node.traffic.following.follower import StoreFollower
from vaneturn_node.traffic.process.limits import ProcessLimits
from vaneturn_node.traffic.process.stopping import Lifecycle
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.admitting import StreamAdmitter
from vaneturn_node.traffic.serving.metrics import TrafficMetrics
from vaneturn_node.traffic.serving.requesthistory import RequestHistory
from vaneturn_node.traffic.sharing.demandsharing import DemandSharing

REQUESTS_PATH: Final = "/requests/"
BLOCKS_PATH: Final = "/blocks/"
_JSON: Final = [(b"content-type", b"application/json")]
_TEXT: Final = [(b"content-type", b"text/plain; version=0.0.4")]

logger = logging.getLogger(__name__)


class OperatorHandler:
    """Handles requests to the metrics address."""

    def __init__(
        self,
        *,
        vm: VmId,
        node: NodeId,
        parts: TrafficParts,
        metrics: TrafficMetrics,
        admitter: StreamAdmitter,
        ended: RequestHistory,
        tenure: Tenure,
        follower: StoreFollower,
        lifecycle: Lifecycle,
        demand: DemandSharing,
        errors: UnexpectedErrors,
        limits: ProcessLimits,
    ) -> None:
        self._vm = vm
        self._node = node
        self._parts = parts
        self._metrics = metrics
        self._admitter = admitter
        self._ended = ended
        self._tenure = tenure
        self._follower = follower
        self._lifecycle = lifecycle
        self._demand = demand
        self._errors = errors
        self._limits = limits
        self.in_progress = 0  # requests; set before each request to this handler

    async def answer(self, request: ClientRequest, answer: ClientAnswer) -> None:
        """Answer one request of an operator."""
        if request.path == "/metrics":
            await answer.send_whole(200, _TEXT, self._render_metrics())
        elif request.path == "/state":
            await answer.send_whole(200, _JSON, msgspec.json.encode(self._describe_node()))
        elif request.path.startswith(BLOCKS_PATH):
            await answer.send_whole(self._lift_block(request), [], b"")
        elif request.path.startswith(REQUESTS_PATH):
            ended = self._ended.find(RequestId(request.path.removeprefix(REQUESTS_PATH)))
            await answer.send_whole(200 if ended else 404, _JSON, msgspec.json.encode(ended))
        else:
            await answer.send_whole(404, [], b"")

    def _lift_block(self, request: ClientRequest) -> int:
        """Clear an identity of the known crashes, on all nodes; return the status of the answer."""
        if request.method != "DELETE":
            return 405
        identity = parse_identity(request.path.removeprefix(BLOCKS_PATH))
        if identity is None or not self._parts.crashes.lift(identity):
            return 404
        logger.info("block lifted by an operator", extra={"identity": format_identity(identity)})
        return 200

    def _render_metrics(self) -> bytes:
        from vaneturn_node.traffic.process.metricstext import Gauges, render_metrics  # noqa: PLC0415 # the docstring of metricstext.py says why

        view = self._parts.view
        statuses, now = self._parts.beliefs, read_clock()
        gauges = Gauges(
            view_age=view.finite_age,
            epoch=self._follower.epoch,
            rejected_watches={reason.value: count for reason, count in self._follower.store_watch.rejections.items()},
            crashes=len(self._parts.crashes.list_crashes()),
            servers=len(view.servers),
            limited=len(self._parts.limits.list_limited()),
            closed=sum(statuses[server].is_closed(now) for server in view.servers),
            reported_nodes=self._demand.reported_nodes,
            services=self._admitter.describe_services(),
            blocks=Counter(describe_kind(cause) for cause in self._parts.crashes.list_blocks()),
            lost_paths=len(self._parts.connectivity.list_lost()),
            errors=self._errors.counts,
            connection_conflicts=self._parts.pool.conflicts,
            retry_budgets=self._parts.retries.describe(),
            held_bytes=self._limits.resources.budget.held + self._limits.calls.held,
            reached_limits=list(self._limits.list_reached()),
        )
        return render_metrics(self._metrics, gauges)

    def _describe_node(self) -> TrafficState:
        view = self._parts.view
        return TrafficState(
            vm=self._vm,
            node=self._node,
            version=view.configuration.version if view.configuration is not None else None,
            age=round(view.finite_age, 3),
            is_ready=not self._lifecycle.is_stopping and view.is_ready(),
            is_stopping=self._lifecycle.is_stopping,
            has_tenure=self._tenure.is_valid(),
            nodes=sorted(view.nodes),
            relay=self._follower.followed,
            in_progress=self.in_progress,
            servers=[self._describe_server(server) for server in view.servers.values()],
            services=self._admitter.describe_services(),
            blocks=[self._describe_block(cause) for cause in self._parts.crashes.list_blocks()],
            retry_budgets=self._parts.retries.describe(),
            errors=self._errors.list_recent(),
            lost_paths={
                service: round(self._parts.connectivity.compute_lost_time(service), 3)
                for service in self._parts.connectivity.list_lost()
            },
        )

    def _describe_block(self, cause: Cause) -> SeenBlock:
        now = read_clock()
        return SeenBlock(
            id=format_identity(cause.identity),
            kind=describe_kind(cause),
            companions=sorted(format_identity(one) for one in cause.companions - {cause.identity}),
            servers=sorted(cause.servers),
            software=sorted(cause.software),
            age=round(now - cause.newest, 3),
            remaining=round(max(0.0, self._parts.crashes.get_end(cause) - now), 3),
            is_confirmed=cause.is_confirmed,
            is_contested=cause.is_contested,
        )

    def _describe_server(self, server: BackendServer) -> SeenServer:
        status = self._parts.beliefs[server.id]
        now = read_clock()
        return SeenServer(
            id=server.id,
            service=server.service,
            address=server.address,
            data_hall=server.hall,
            state=server.state.value,
            layers=[(layers.first, layers.end) for layers in server.layers],
            in_progress=status.in_progress,
            failures=status.failures,
            resting=round(max(0.0, status.backoff_until - now), 3),
            slowness=status.get_slowness(now),
            rate_limit=self._parts.limits.list_limited().get(server.id),
            asked_rest=round(max(0.0, status.rest_until - now), 3),
            is_leaving=status.is_leaving,
        )


__all__ = ["OperatorHandler"]
