"""Handles the requests that other nodes forward, since they reach no server of the service."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

import anyio

from vaneturn_core.traffic.peerchoice import DeclineReason
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.clientanswer import ClientAnswer
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.platform.headers import replace_last_event_id
from vaneturn_node.traffic.serving.answering import RequestHandler
from vaneturn_node.traffic.serving.answermarks import mark_unread
from vaneturn_node.traffic.serving.firstnode import FirstNode
from vaneturn_node.traffic.sharing.forwarding import (
    AnswerKind,
    AnswerMarks,
    ForwardedRequest,
    build_marks,
    decode_forwarded,
)

VERSION_WAIT_S: Final = 0.2  # for the configuration by which the first node has accepted the request
MAX_IN_PROGRESS: Final = 1000  # forwarded requests of all nodes
DECLINED_STATUS: Final = 503

logger = logging.getLogger(__name__)


class ForwardedRequestHandler:
    """Admits and sends forwarded requests as those of clients of this node."""

    def __init__(self, handler: RequestHandler, view: PlatformView, is_stopping: Callable[[], bool]) -> None:
        self._handler = handler
        self._view = view
        self._is_stopping = is_stopping
        self.in_progress = 0
        self._is_changed = anyio.Event()  # the configuration
        view.configuration_listeners.append(self._note_change)

    def _note_change(self) -> None:
        self._is_changed.set()
        self._is_changed = anyio.Event()

    async def answer(self, request: ClientRequest, answer: ClientAnswer) -> None:
        """Handle a request of another node, or decline it before any server has received it."""
        forwarded = decode_forwarded(request.body)
        if forwarded is None:
            await answer.send_whole(400, mark_unread(self._view), b"")
            return
        reason = await self._find_obstacle(forwarded)
        if reason is not None:
            logger.info("forwarded request declined", extra={"vm_from": forwarded.vm, "reason": reason.value})
            marks = AnswerMarks(AnswerKind.DECLINED, forwarded.runs, self._get_version(), reason)
            await answer.send_whole(DECLINED_STATUS, build_marks(marks), b"")
            return
        self.in_progress += 1
        try:
            await self._handler.handle(_restore_request(forwarded), answer, _describe_first_node(forwarded))
        finally:
            self.in_progress -= 1

    async def _find_obstacle(self, forwarded: ForwardedRequest) -> DeclineReason | None:
        """Find what forbids to take a request.

        The first node need not be in the list of nodes: one that stops leaves it before its last clients, and one that
        has just started is not known yet. The client's key is checked here.
        """
        if self._is_stopping():
            return DeclineReason.STOPPING
        if self.in_progress >= MAX_IN_PROGRESS:
            return DeclineReason.NOT_ADMITTED
        return None if await self._has_version(forwarded.version) else DeclineReason.OLDER_CONFIGURATION

    async def _has_version(self, version: int) -> bool:
        """Wait for a version of the configuration; return whether this node has it in time."""
        with anyio.move_on_after(VERSION_WAIT_S):
            while self._get_version() < version:
                await self._is_changed.wait()
        return self._get_version() >= version

    def _get_version(self) -> int:
        return self._view.configuration.version if self._view.configuration is not None else 0


def _restore_request(forwarded: ForwardedRequest) -> ClientRequest:
    """Restore the client's request; its time counts from its arrival at the first node."""
    headers = replace_last_event_id(forwarded.headers, forwarded.last_event_id)
    path = forwarded.target.partition("?")[0]
    arrived = read_clock() - forwarded.elapsed
    return ClientRequest(forwarded.method, forwarded.target, path, headers, forwarded.body, arrived)


def _describe_first_node(forwarded: ForwardedRequest) -> FirstNode:
    return FirstNode(
        forwarded.vm,
        forwarded.sends,
        forwarded.runs,
        may_have_run=forwarded.may_have_run,
        is_resumed=forwarded.is_resumed,
        must_run_once=forwarded.must_run_once,
        has_retry=forwarded.has_retry,
        avoided=frozenset(forwarded.avoided),
        attempted=frozenset(forwarded.attempted),
        reads_servers=forwarded.reads_servers,
        exhausted=frozenset(forwarded.exhausted),
    )


__all__ = ["ForwardedRequestHandler"]
