"""Handles each client request and writes one log line about its outcome."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

import anyio
import msgspec
from anyio import CancelScope

from vaneturn_core.identifiers import ServiceName
from vaneturn_core.traffic.configuration import EngineProfile, TrafficConfiguration
from vaneturn_node.errors import UnexpectedErrors
from vaneturn_node.http1.clientanswer import ClientAnswer
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.http1.server import CLIENT_LEFT_ERRORS
from vaneturn_node.platform.directives import RETRY_AFTER
from vaneturn_node.platform.headers import RequestFacts, build_client_headers, read_request_facts
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.admitting import StreamAdmitter
from vaneturn_node.traffic.serving.answermarks import end_unfinished, mark_answer
from vaneturn_node.traffic.serving.blocking import find_settled_block
from vaneturn_node.traffic.serving.firstnode import FirstNode
from vaneturn_node.traffic.serving.metrics import TrafficMetrics
from vaneturn_node.traffic.serving.outcomes import REFUSAL_STATUS, Answered, OwnAnswer, Reason, refuse
from vaneturn_node.traffic.serving.peerforwarding import PeerForwarder
from vaneturn_node.traffic.serving.plain import PlainForwarder
from vaneturn_node.traffic.serving.requesthistory import RequestHistory, describe_request
from vaneturn_node.traffic.serving.requestrouting import OLD_KEYS_RETRY_S, STOPPING_RETRY_S, RequestRouter
from vaneturn_node.traffic.serving.requests import RequestContext
from vaneturn_node.traffic.serving.streams import StreamForwarder
from vaneturn_node.traffic.serving.unreadanswers import yield_unread_answers

logger = logging.getLogger(__name__)


class RequestHandler:
    """Handles the requests of all client connections."""

    def __init__(
        self,
        parts: TrafficParts,
        metrics: TrafficMetrics,
        history: RequestHistory,
        errors: UnexpectedErrors,
        get_time_left: Callable[[], float],
    ) -> None:
        """Create the handler.

        :param get_time_left: gives the seconds until requests are aborted by a planned stop; infinite without one.
        """
        self._parts = parts
        self._history = history
        self._errors = errors
        self._router = RequestRouter(parts, get_time_left)
        self._metrics = metrics
        peers = PeerForwarder(parts)
        self._plain = PlainForwarder(parts, peers)
        self.admitter = StreamAdmitter(parts, metrics)
        self._streams = StreamForwarder(parts, self.admitter, peers)
        self.backgrounds = (self.admitter, peers.withdrawals)
        self._open_requests: dict[CancelScope, RequestContext] = {}
        self._is_aborting = False
        self.in_progress = 0
        parts.crashes.listeners.append(self._cancel_blocked)

    async def handle(self, request: ClientRequest, answer: ClientAnswer, first_node: FirstNode | None = None) -> None:
        """Admit and forward one request, write its answer and log its outcome.

        :param first_node: that forwarded the request to this one, None for a request of a client.
        """
        facts = read_request_facts(request.headers)
        context: RequestContext | None = None
        result: Answered | OwnAnswer | None = None
        ending = "client left"
        self.in_progress += 1
        try:
            if self._parts.view.configuration is None:
                await self._parts.first_reading.wait(facts.deadline, request.arrived)
            admission = self._router.route(request, facts, first_node)
            if isinstance(admission, OwnAnswer):
                result = admission
            else:
                context = admission
                if first_node is not None:
                    answer.list_added_headers = partial(mark_answer, self._parts.view, first_node, context, None)
                result = _correct_refusal(await self._forward_safely(context, answer), context)
            if first_node is not None:
                answer.list_added_headers = partial(mark_answer, self._parts.view, first_node, context, result)
            if context is not None:
                yield_unread_answers(context, answer)
            ending = await self._finish(result, answer)
            if first_node is not None and not answer.is_ended:
                await end_unfinished(self._parts.view, first_node, context, answer)
        except anyio.get_cancelled_exc_class():
            if first_node is not None and not answer.is_ended:
                await end_unfinished(self._parts.view, first_node, context, answer)
            raise
        finally:
            self.in_progress -= 1
            for holder in context.held_answers if context is not None else ():
                holder.release()
            self._log(request, facts, context, result, ending)

    async def _forward_safely(self, context: RequestContext, answer: ClientAnswer) -> Answered | OwnAnswer | None:
        """Forward a request; an unexpected error ends it alone, with an answer that tells whether it may have run."""
        try:
            return await self._forward_before_deadline(context, answer)
        except CLIENT_LEFT_ERRORS:
            raise
        except Exception as error:
            if isinstance(error, ExceptionGroup) and error.split(CLIENT_LEFT_ERRORS)[1] is None:
                raise
            cause = self._errors.record("request", error, context.facts.id or "")
        context.add_step(f"unexpected error: {cause}")
        if answer.is_begun:
            return None
        return context.make_may_have_run_answer(cause) if context.sends else OwnAnswer(500, Reason.INTERNAL_ERROR)

    async def _forward_before_deadline(
        self, context: RequestContext, answer: ClientAnswer
    ) -> Answered | OwnAnswer | None:
        """Forward a request; at its deadline, give the final answer, or break off an answer that has begun."""
        if context.time_left <= 0:  # it expired while waiting for the first configuration
            return refuse(Reason.TIMEOUT, OLD_KEYS_RETRY_S)
        while True:
            result, is_cancelled = await self._forward_until_cancelled(context, answer)
            if is_cancelled:  # its last try has no outcome that tells
                context.may_have_run = context.may_have_run or context.history.may_have_run
            if isinstance(result, Answered) or answer.is_begun:
                break
            was_blocked = context.find_block() is not None
            block = await find_settled_block(context, lambda: self._is_aborting)
            if block is not None:
                return context.make_blocked_answer(block)
            is_blocked_no_more = was_blocked or (is_cancelled and not self._is_aborting)
            if not is_blocked_no_more or context.time_left <= 0:
                break
            context.add_step("no longer blocked")
        if not is_cancelled:
            return result
        context.add_step("aborted, as the process ends" if self._is_aborting else "time is up")
        return None if answer.is_begun else self._answer_unfinished(context)

    async def _forward_until_cancelled(
        self, context: RequestContext, answer: ClientAnswer
    ) -> tuple[Answered | OwnAnswer | None, bool]:
        """Forward a request until its deadline, or until it is cancelled; return the result and whether it was."""
        result: Answered | OwnAnswer | None = None
        with anyio.move_on_after(context.time_left) as scope:
            self._open_requests[scope] = context
            try:
                result = await self._forward(context, answer)
            finally:
                del self._open_requests[scope]
        return result, scope.cancelled_caught

    def _answer_unfinished(self, context: RequestContext) -> OwnAnswer:
        """Make the final answer to a request whose time is up, or that a planned stop has aborted."""
        may_have_run = bool(context.sends) or context.history.may_have_run
        if not self._is_aborting or context.time_left <= 0:
            return OwnAnswer(504, Reason.TIMEOUT) if may_have_run else refuse(Reason.TIMEOUT, OLD_KEYS_RETRY_S)
        if may_have_run:
            return context.make_may_have_run_answer("the node has ended")
        return refuse(Reason.STOPPING, STOPPING_RETRY_S)

    def _cancel_blocked(self) -> None:
        """Cancel blocked requests that still wait for their first event, before their servers run them and crash.

        Those with a contested cause go on, as they tell soonest whether it is harmless.
        """
        for scope, context in self._open_requests.items():
            block = context.find_block() if context.sends and not context.events else None
            if block is not None and not block.is_contested:
                scope.cancel()

    def abort_requests(self) -> None:
        """End all requests in progress; those whose answer has not begun get one of this node."""
        self._is_aborting = True
        for scope in self._open_requests:
            scope.cancel()

    def shorten_timeouts(self, seconds: float) -> None:
        """Shorten open timeouts by the time this VM was suspended: the event loop's clock stood still meanwhile."""
        for scope in self._open_requests:
            scope.deadline -= seconds

    async def _forward(self, context: RequestContext, answer: ClientAnswer) -> Answered | OwnAnswer | None:
        configuration = self._parts.view.configuration
        engine = _find_engine(configuration, context.service)
        if engine is not None:
            return await self._streams.forward(context, engine, answer)
        return await self._plain.forward(context)

    async def _finish(self, result: Answered | OwnAnswer | None, answer: ClientAnswer) -> str:
        """Write an answer that was not relayed; return how the request ended, for the log."""
        if result is None:
            return "whole" if answer.is_ended else "broken off"
        if isinstance(result, Answered):
            await answer.send_whole(result.status, build_client_headers(result.headers), result.body)
            return f"status {result.status}"
        # a node that is not ready closes the connection, so that the client's next one goes to a node that is
        is_served_here = self._parts.view.is_ready() and result.reason is not Reason.NO_PATH
        answer.closes_connection = answer.closes_connection or not is_served_here
        headers = [(b"content-type", b"application/json")]
        if result.retry_after is not None:
            headers.append((RETRY_AFTER, f"{result.retry_after:.2f}".encode()))
        body = msgspec.json.encode({"error": result.reason.value, "cause": result.cause})
        await answer.send_whole(result.status, headers, body)
        return f"own {result.status} {result.reason.value}"

    def _log(
        self,
        request: ClientRequest,
        facts: RequestFacts,
        context: RequestContext | None,
        result: Answered | OwnAnswer | None,
        ending: str,
    ) -> None:
        record = describe_request(request, facts, context, result, ending=ending, view=self._parts.view)
        self._metrics.observe(record.route, record.customer, ending, record.seconds)
        if context is not None:
            self._metrics.broken_answers.update(context.broken_answers)
            self._metrics.repeats.update(context.history.list_repeats(must_run_once=not context.may_repeat))
        self._history.add(facts.id, record)
        extra = msgspec.to_builtins(record)
        del extra["admission"]  # has a log line of its own
        logger.info("request ended", extra=extra)


def _correct_refusal(result: Answered | OwnAnswer | None, context: RequestContext) -> Answered | OwnAnswer | None:
    """Replace a refusal as not run if an earlier try may have run, here or at another node.

    A node that has sent a forwarded request to no server speaks for itself; the first node knows of the other tries.
    """
    is_refusal = isinstance(result, OwnAnswer) and result.status == REFUSAL_STATUS
    if not is_refusal or not context.may_have_run or context.is_declinable:
        return result
    assert isinstance(result, OwnAnswer)  # noqa: S101 # a refusal is one
    return context.make_may_have_run_answer(result.cause or result.reason.value)


def _find_engine(configuration: TrafficConfiguration | None, name: ServiceName) -> EngineProfile | None:
    service = configuration.services.get(name) if configuration is not None else None
    return service.engine if service is not None else None


__all__ = ["RequestHandler"]
