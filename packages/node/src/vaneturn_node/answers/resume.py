"""Resuming a streamed answer at any node after the loss of the connection or of its node.

The id of each event is the sealed state of the answer. It is small, as activations and caches are not part of it. A
caller that reconnects repeats its request body with the newest id, and any node can resume the answer: stages that
still hold the session are used as they are, and the caches of the others are rebuilt from the tokens.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import Final

import msgspec
import xxhash
from msgspec import Struct

from vaneturn_core.decoding import decode_msgpack
from vaneturn_core.engine.messages import TOKEN_BYTES
from vaneturn_core.identifiers import CustomerName, PipelineName, SessionId, VmId
from vaneturn_core.routing.hops import Hop, Route
from vaneturn_node.peers.seal import Sealer

MAX_RESUMABLE_TOKENS: Final = 4096  # event ids of a longer answer contain only its position
ATTEMPTS_PER_RESUME: Final = 1 << 16  # attempts reserved for each resume: new ones exceed any that the lost node used


class ResumePoint(Struct, frozen=True, array_like=True):
    """The state that another node needs to resume an answer, besides the body of the request."""

    customer: CustomerName
    pipeline: PipelineName
    version: str
    session: SessionId
    prompt_digest: int
    seed: int
    resumes: int  # number of earlier resumes of the answer
    tokens: bytes  # generated so far
    hops: list[tuple[VmId, int, int]]  # newest route: server, first and end layer of each hop
    is_finished: bool  # whether the answer is complete

    def make_route(self, layers: int) -> Route | None:
        """Create the last route of the answer; None if the pipeline's layers have changed since."""
        if not self.hops or self.hops[-1][2] != layers:
            return None
        return Route(layers, tuple(Hop(vm, first, end) for vm, first, end in self.hops))

    @property
    def first_attempt(self) -> int:
        """The first attempt of the node that resumes the answer."""
        return (self.resumes + 1) * ATTEMPTS_PER_RESUME


def digest_prompt(prompt: bytes) -> int:
    """Compute the digest of a prompt, by which a resumed request is recognised as the same one."""
    return xxhash.xxh3_64_intdigest(prompt)


@dataclass(frozen=True)
class ResumeCodec:
    """Encodes resume points as event ids and decodes them."""

    sealer: Sealer

    def encode(self, point: ResumePoint) -> str:
        """Encode a point as an event id."""
        sealed = self.sealer.seal(msgspec.msgpack.encode(point))
        return base64.urlsafe_b64encode(sealed).decode()

    def decode(self, text: str) -> ResumePoint | None:
        """Decode an event id; None if it is malformed or was not sealed with this installation's key."""
        try:
            payload = self.sealer.open(base64.urlsafe_b64decode(text))
            return None if payload is None else decode_msgpack(payload, ResumePoint)
        except ValueError:  # also of base64
            return None


def count_generated(point: ResumePoint) -> int:
    """Count the generated tokens up to the resume point."""
    return len(point.tokens) // TOKEN_BYTES


__all__ = ["MAX_RESUMABLE_TOKENS", "ResumeCodec", "ResumePoint", "count_generated", "digest_prompt"]
