"""Client of the operators' interface of nodes."""

from __future__ import annotations

import ssl
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final, TypeVar

import httpx
import msgspec

from vaneturn_core.configuration.schema import Configuration
from vaneturn_core.identifiers import ChangeId, RequestId
from vaneturn_core.operators import ChangeAnswer, ChangeStatus, EndedRequest, NodeState, ProposalBody

TIMEOUT_S: Final = 15.0  # seconds; longer than a node takes to settle a write whose answer was lost

_Body = TypeVar("_Body")


@dataclass(frozen=True)
class NoAnswer:
    """A node did not answer."""

    node: str
    cause: str


class OperatorClient:
    """Calls the operators' interface of one or more nodes over HTTP."""

    def __init__(self, nodes: Sequence[str], key: str, authority: Path | None = None) -> None:
        """Create a client.

        :param nodes: addresses as HOST:PORT, or https://HOST:PORT where nodes terminate TLS.
        :param authority: PEM file of the certificate authority that signed the nodes' certificates, unless it is a
            publicly trusted one.
        """
        self.nodes = tuple(nodes)
        verify = ssl.create_default_context(cafile=authority) if authority else True
        self._client = httpx.Client(headers={"Authorization": f"Bearer {key}"}, timeout=TIMEOUT_S, verify=verify)

    def read_state(self, node: str) -> NodeState | NoAnswer:
        """Read the state that one node reports."""
        return self._call(node, "GET", "state", NodeState)

    def read_configuration(self) -> Configuration | NoAnswer:
        """Read the newest configuration that any node has in force."""
        answers = [self._call(node, "GET", "configuration", Configuration) for node in self.nodes]
        known = [answer for answer in answers if isinstance(answer, Configuration)]
        if known:
            return max(known, key=lambda configuration: configuration.revision)
        return next(answer for answer in answers if isinstance(answer, NoAnswer))

    def propose(self, proposal: ProposalBody) -> ChangeAnswer | NoAnswer:
        """Send a change to the first node that answers; sending it again is harmless because of its id."""
        return self._call_any("POST", "changes", ChangeAnswer, msgspec.json.encode(proposal))

    def find_change(self, change: ChangeId) -> ChangeAnswer | NoAnswer:
        """Ask the nodes for a change until one reports it as applied."""
        answer: ChangeAnswer | NoAnswer = NoAnswer("", "no node given")
        for node in self.nodes:
            answer = self._call(node, "GET", f"changes/{change}", ChangeAnswer)
            if isinstance(answer, ChangeAnswer) and answer.result is ChangeStatus.APPLIED:
                break
        return answer

    def find_ended_request(self, request: RequestId) -> EndedRequest | None:
        """Ask the nodes for the record of an ended request until one knows it."""
        answers = (self._call(node, "GET", f"requests/{request}", EndedRequest) for node in self.nodes)
        return next((answer for answer in answers if isinstance(answer, EndedRequest)), None)

    def _call_any(self, method: str, path: str, body_type: type[_Body], content: bytes) -> _Body | NoAnswer:
        answer: _Body | NoAnswer = NoAnswer("", "no node given")
        for node in self.nodes:
            answer = self._call(node, method, path, body_type, content)
            if not isinstance(answer, NoAnswer):
                break
        return answer

    def _call(
        self, node: str, method: str, path: str, body_type: type[_Body], content: bytes | None = None
    ) -> _Body | NoAnswer:
        try:
            response = self._client.request(method, f"{_make_url(node)}/operator/v1/{path}", content=content)
        except httpx.HTTPError as error:
            return NoAnswer(node, type(error).__name__)
        if response.status_code == httpx.codes.UNAUTHORIZED:
            return NoAnswer(node, "unknown operator key")
        try:
            return msgspec.json.decode(response.content, type=body_type)
        except msgspec.DecodeError as error:
            return NoAnswer(node, str(error))


def _make_url(node: str) -> str:
    return node if "://" in node else f"http://{node}"


__all__ = ["NoAnswer", "OperatorClient"]
