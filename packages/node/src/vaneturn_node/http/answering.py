"""Generation of one chat answer and its delivery to the caller."""

from __future__ import annotations

import time
from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass
from typing import Final

import anyio
import msgspec
import xxhash
from starlette.responses import Response

from vaneturn_core.configuration.schema import Pipeline, WorkClass
from vaneturn_core.engine.tokens import count_tokens
from vaneturn_core.identifiers import RequestId, SessionId
from vaneturn_core.outcomes import NotRun, Reason, Unknown
from vaneturn_node.answers.generation import Generation
from vaneturn_node.answers.request import AnswerRequest, GeneratedToken
from vaneturn_node.answers.resume import MAX_RESUMABLE_TOKENS, ResumeCodec, ResumePoint, count_generated
from vaneturn_node.answers.stagerun import StageRun
from vaneturn_node.claims.ports import Claim
from vaneturn_node.clock import read_clock
from vaneturn_node.http.accounting import Account
from vaneturn_node.http.chatformat import (
    AnswerMessage,
    ChatCompletion,
    ChatRequest,
    Choice,
    Chunk,
    ChunkChoice,
    Delta,
    Usage,
)
from vaneturn_node.http.errors import REQUEST_HEADER, answer_error, describe_error
from vaneturn_node.http.reading import Call
from vaneturn_node.peers.seal import Sealer
from vaneturn_node.runtime import Runtime

DEFAULT_MAX_TOKENS: Final = 1024
PREFIX_BYTES: Final = 512  # of the prompt, which determine the affinity if the caller names no session
ROUTE_HEADER: Final = "Vaneturn-Route"
_END_EVENT: Final = b"data: [DONE]\n\n"


@dataclass(frozen=True)
class ChatCall:
    """A chat request that was parsed and validated."""

    call: Call
    body: ChatRequest
    work_class: WorkClass
    pipeline: Pipeline
    prefix: bytes  # of the rendered messages
    prompt: bytes  # the text as tokens
    resumed: ResumePoint | None


class Answer:
    """One answer, generated only as fast as the caller reads it, so that a slow reader needs no buffer."""

    def __init__(self, runtime: Runtime, chat: ChatCall, account: Account, session_name: str) -> None:
        self._runtime = runtime
        self._chat = chat
        self._account = account
        self._outcome: NotRun | Unknown | None = Unknown(Reason.CONNECTION_LOST)  # until the answer has ended
        self._created = int(time.time())
        self._claim: Claim | None = None
        self._is_admitted = False
        self._request = self._make_request(session_name)
        stage_run = StageRun(self._request, runtime.pool, runtime.healths, runtime.settings.call_timeout)
        self._generation = Generation(self._request, stage_run, runtime.placement, runtime.mover, runtime.metrics)
        self._pieces: AsyncGenerator[GeneratedToken | NotRun | Unknown, None] = self._generation.run()
        self._closed = False
        self._codec = ResumeCodec(Sealer(runtime.settings.cluster_key))

    @property
    def id(self) -> RequestId:
        """The request's id."""
        return self._account.id

    @property
    def headers(self) -> dict[str, str]:
        """Headers that name the request and the route on which it started."""
        routes = self._generation.routes
        return {
            REQUEST_HEADER: self._account.id,
            ROUTE_HEADER: routes[-1] if routes else "",
            "Cache-Control": "no-store",
        }

    def _make_request(self, session_name: str) -> AnswerRequest:
        chat = self._chat
        affinity = session_name or chat.body.user or xxhash.xxh3_64_hexdigest(chat.prefix)
        resumed = chat.resumed
        return AnswerRequest(
            id=self._account.id,
            session=resumed.session if resumed else SessionId(self._account.id),
            customer=chat.call.customer.name,
            work_class=chat.work_class.name,
            priority=chat.work_class.priority,
            pipeline=chat.pipeline,
            prompt=chat.prompt,
            seed=resumed.seed if resumed else self._choose_seed(),
            max_tokens=chat.body.max_completion_tokens or chat.body.max_tokens or DEFAULT_MAX_TOKENS,
            affinity=f"{chat.call.customer.name} {affinity}",
            deadline=self._account.started + chat.call.timeout,
            resumed=resumed,
        )

    def _choose_seed(self) -> int:
        if self._chat.body.seed is not None:
            return self._chat.body.seed
        return xxhash.xxh3_64_intdigest(self._account.id.encode()) >> 1

    async def start(self) -> GeneratedToken | NotRun | Unknown | None:
        """Wait for admission and for the first token; in between, claim a request that must run at most once.

        :return: the first token, or why there is none; None if a resumed answer was already complete.
        """
        self._runtime.generations[self._account.id] = self._generation
        refusal = await self._enter_pipeline() or await self._claim_once()
        if refusal is not None:
            self._outcome = refusal
            return refusal
        first = None if self._is_complete else await self._wait_for_piece()
        if first is None:
            self._outcome = None
        return first

    @property
    def _is_complete(self) -> bool:
        return self._chat.resumed is not None and self._chat.resumed.is_finished

    async def _claim_once(self) -> NotRun | Unknown | None:
        """Claim a request that must run at most once; a resumed one was claimed when it began."""
        repeat_key = self._chat.call.repeat_key
        if repeat_key is None or self._chat.resumed is not None:
            return None
        claim = await self._runtime.claims.claim(self._chat.call.customer.name, repeat_key)
        if not isinstance(claim, Claim):
            return claim
        self._claim = claim
        return None

    async def _enter_pipeline(self) -> NotRun | None:
        """Wait for admission; a resumed answer is already in progress and is never refused."""
        chat, admission = self._chat, self._runtime.admission
        if chat.resumed is not None:
            admission.enter_resumed(chat.pipeline)
            self._is_admitted = True
            return None
        refusal: NotRun | None = NotRun(Reason.STOPPING)
        with admission.open_scope():
            refusal = await admission.enter_pipeline(chat.pipeline, chat.call.customer, chat.work_class)
        self._is_admitted = refusal is None
        return refusal

    async def _iterate_pieces(self, first: GeneratedToken | None) -> AsyncIterator[GeneratedToken | NotRun | Unknown]:
        piece: GeneratedToken | NotRun | Unknown | None = first
        while piece is not None:
            yield piece
            piece = await self._wait_for_piece()

    async def _wait_for_piece(self) -> GeneratedToken | NotRun | Unknown | None:
        """Wait for the next piece and record it; None after the last one."""
        piece: GeneratedToken | NotRun | Unknown | None = Unknown(Reason.STOPPING)
        with self._runtime.admission.open_scope():
            piece = await anext(self._pieces, None)
        if piece is not None:
            self._record_piece(piece)
        return piece

    def _record_piece(self, piece: GeneratedToken | NotRun | Unknown) -> None:
        if not isinstance(piece, GeneratedToken):
            self._outcome = piece
            return
        self._account.record_token()
        if piece.last:
            self._outcome = None

    async def collect(self, first: GeneratedToken) -> Response:
        """Answer with the whole text, or with an error if the answer was not completed."""
        texts: list[str] = []
        async for piece in self._iterate_pieces(first):
            if not isinstance(piece, GeneratedToken):
                return answer_error(piece, request=self.id)
            texts.append(piece.text)
        prompt_tokens = count_tokens(self._request.prompt)
        completion = ChatCompletion(
            id=self._account.id,
            created=self._created,
            model=self._chat.body.model,
            choices=[Choice(AnswerMessage("".join(texts)), self._find_finish_reason())],
            usage=Usage(prompt_tokens, len(texts), prompt_tokens + len(texts)),
        )
        return Response(msgspec.json.encode(completion), headers=self.headers, media_type="application/json")

    async def stream(self, first: GeneratedToken | None) -> AsyncIterator[bytes]:
        """Stream one event per token; an answer without the end mark after the last token is incomplete."""
        async for piece in self._iterate_pieces(first):
            if not isinstance(piece, GeneratedToken):
                yield b"data: " + msgspec.json.encode(describe_error(piece)) + b"\n\n"
                return
            yield self._encode_event(piece)
        yield self._encode_finish()
        yield _END_EVENT

    def _encode_event(self, piece: GeneratedToken) -> bytes:
        chunk = self._make_chunk(Delta(content=piece.text), None)
        return b"id: %s\ndata: %s\n\n" % (self._make_event_id(piece).encode(), chunk)

    def _make_event_id(self, piece: GeneratedToken) -> str:
        point = self._generation.make_resume_point(is_finished=piece.last)
        if count_generated(point) > MAX_RESUMABLE_TOKENS:
            return str(piece.position)
        return self._codec.encode(point)

    def _encode_finish(self) -> bytes:
        return b"data: " + self._make_chunk(Delta(), self._find_finish_reason()) + b"\n\n"

    def _make_chunk(self, delta: Delta, finish_reason: str | None) -> bytes:
        choice = ChunkChoice(delta, finish_reason)
        return msgspec.json.encode(Chunk(self._account.id, self._created, self._chat.body.model, [choice]))

    def _find_finish_reason(self) -> str:
        return "length" if self._account.tokens >= self._request.max_tokens else "stop"

    async def close(self) -> None:
        """Release the resources of the answer; safe to call twice."""
        if self._closed:
            return
        self._closed = True
        self._runtime.generations.pop(self._account.id, None)
        if self._is_admitted:
            self._runtime.admission.leave_pipeline(self._chat.pipeline, read_clock() - self._account.started)
        self._runtime.admission.leave(self._chat.call.customer)
        self._account.close(self._outcome)
        with anyio.CancelScope(shield=True):
            await self._pieces.aclose()
            if self._claim is not None and isinstance(self._outcome, NotRun):
                await self._runtime.claims.release(self._claim)


__all__ = ["PREFIX_BYTES", "Answer", "ChatCall"]
