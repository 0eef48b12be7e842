"""Resuming a streamed answer at any node after the connection or its node was lost.

Each event carries the answer's state as its id: sealed, and small, since activations and caches are not part of it.
A caller that reconnects sends its body again with the newest id. Any node goes on from there: where the stages still
hold the session they are used as they are, and where not, their caches are built again from the tokens.
"""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass
from typing import Final

import msgspec
import xxhash
from msgspec import Struct

from vaneturn_core.engine.messages import TOKEN_BYTES
from vaneturn_core.identifiers import CustomerName, PipelineName, SessionId, VmId
from vaneturn_core.routing.hops import Hop, Route
from vaneturn_node.peers.seal import Sealer

MAX_RESUMABLE: Final = 4096  # generated tokens; the id of a longer answer is its position only
ATTEMPTS_OF_A_RESUME: Final = 1 << 16  # attempts after a resume are above all that the lost node may have used


class ResumePoint(Struct, frozen=True, array_like=True):
    """All that another node needs to go on with an answer, besides the body of the request."""

    customer: CustomerName
    pipeline: PipelineName
    version: str
    session: SessionId
    prompt_digest: int
    seed: int
    resumes: int  # how often the answer was resumed before
    tokens: bytes  # generated so far
    hops: list[tuple[VmId, int, int]]  # of the newest route: server, first and end layer
    is_finished: bool  # the last token was the answer's last one

    def make_route(self, layers: int) -> Route | None:
        """Make the route that the answer was on; none if the pipeline was cut otherwise since."""
        if not self.hops or self.hops[-1][2] != layers:
            return None
        return Route(layers, tuple(Hop(vm, first, end) for vm, first, end in self.hops))

    @property
    def first_attempt(self) -> int:
        """The first attempt of the node that resumes."""
        return (self.resumes + 1) * ATTEMPTS_OF_A_RESUME


def digest_prompt(prompt: bytes) -> int:
    """Name a prompt, so that a resumed request is seen to be the same one."""
    return xxhash.xxh3_64_intdigest(prompt)


@dataclass(frozen=True)
class ResumeCodec:
    """Makes event ids of resume points and reads them again."""

    sealer: Sealer

    def encode(self, point: ResumePoint) -> str:
        """Encode a point as an event id."""
        sealed = self.sealer.seal(msgspec.msgpack.encode(point))
        return base64.urlsafe_b64encode(sealed).decode()

    def decode(self, text: str) -> ResumePoint | None:
        """Decode an event id; none when it is not one of ours."""
        try:
            payload = self.sealer.open(base64.urlsafe_b64decode(text))
            return None if payload is None else msgspec.msgpack.decode(payload, type=ResumePoint)
        except (binascii.Error, ValueError, msgspec.DecodeError):
            return None


def count_generated(point: ResumePoint) -> int:
    """Count the tokens that the caller has."""
    return len(point.tokens) // TOKEN_BYTES


__all__ = ["MAX_RESUMABLE", "ResumeCodec", "ResumePoint", "count_generated", "digest_prompt"]
