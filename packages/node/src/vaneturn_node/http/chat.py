"""Chat completions: whole answers and streams of server-sent events."""

from __future__ import annotations

import time
from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass
from typing import Final

import msgspec
import xxhash
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse

from vaneturn_core.configuration.schema import Pipeline
from vaneturn_core.engine.tokens import count_tokens, encode_prompt
from vaneturn_core.faults import describe_decode_error
from vaneturn_core.identifiers import PipelineName, SessionId
from vaneturn_core.outcomes import NotRun, Reason, Unknown
from vaneturn_node.answers.generation import Generation
from vaneturn_node.answers.request import AnswerRequest, Piece
from vaneturn_node.answers.stagerun import StageRun
from vaneturn_node.claims.bykey import Claim
from vaneturn_node.http.accounting import Account
from vaneturn_node.http.chatformat import (
    AnswerMessage,
    ChatCompletion,
    ChatRequest,
    Choice,
    Chunk,
    ChunkChoice,
    Delta,
    ModelCard,
    ModelList,
    Usage,
)
from vaneturn_node.http.errors import answer_error, describe_error
from vaneturn_node.http.reading import (
    SESSION_HEADER,
    Call,
    Malformed,
    find_customer,
    read_call,
)
from vaneturn_node.http.rendering import render_prompt
from vaneturn_node.runtime import Runtime

DEFAULT_MAX_TOKENS: Final = 1024
PREFIX_CHARACTERS: Final = 512  # of the prompt, which name its affinity when the caller names no session
ROUTE_HEADER: Final = "Vaneturn-Route"
REQUEST_HEADER: Final = "Vaneturn-Request"
_DONE: Final = b"data: [DONE]\n\n"


@dataclass(frozen=True)
class _ChatCall:
    """A request that was read and checked."""

    call: Call
    body: ChatRequest
    pipeline: Pipeline


async def list_models(request: Request, runtime: Runtime) -> Response:
    """List the pipelines by the names that callers use."""
    customer = find_customer(request, runtime.in_force.view)
    if isinstance(customer, Malformed):
        return answer_error(customer.outcome, customer.message)
    cards = [ModelCard(name) for name in runtime.in_force.view.list_pipelines()]
    return Response(msgspec.json.encode(ModelList(cards)), media_type="application/json")


async def complete_chat(request: Request, runtime: Runtime) -> Response:
    """Answer a chat request."""
    chat = await _read_chat(request, runtime)
    if isinstance(chat, Malformed):
        return answer_error(chat.outcome, chat.message)
    refusal = runtime.admission.enter(chat.call.customer)
    if refusal is not None:
        return answer_error(refusal)
    account = Account(runtime.metrics, chat.call.customer, chat.pipeline.name)
    answer = _Answer(runtime, chat, account, request.headers.get(SESSION_HEADER, ""))
    started = False
    try:
        first = await answer.start()
        started = isinstance(first, Piece)
        if not isinstance(first, Piece):
            return answer_error(first)
        if chat.body.stream:
            return StreamingResponse(answer.stream(first), headers=answer.headers, media_type="text/event-stream")
        return await answer.collect(first)
    finally:
        if not (started and chat.body.stream):
            await answer.close()


async def _read_chat(request: Request, runtime: Runtime) -> _ChatCall | Malformed:
    view = runtime.in_force.view
    customer = find_customer(request, view)
    if isinstance(customer, Malformed):
        return customer
    call = await read_call(request, customer, key_required=False)
    if isinstance(call, Malformed):
        return call
    try:
        body = msgspec.json.decode(call.body, type=ChatRequest)
    except msgspec.DecodeError as error:
        return Malformed(NotRun(Reason.MALFORMED), str(describe_decode_error(error)))
    pipeline = view.find_pipeline(PipelineName(body.model))
    if pipeline is None:
        return Malformed(NotRun(Reason.UNKNOWN_MODEL), f"unknown model {body.model!r}")
    return _ChatCall(call, body, pipeline)


class _Answer:
    """One answer on its way to the caller; pulled by the caller's reading, so a slow reader buffers nothing."""

    def __init__(self, runtime: Runtime, chat: _ChatCall, account: Account, session_name: str) -> None:
        self._runtime = runtime
        self._chat = chat
        self._account = account
        self._outcome: NotRun | Unknown | None = Unknown(Reason.CONNECTION_LOST)  # until the end is reached
        self._created = int(time.time())
        self._claim: Claim | None = None
        self._has_place = False
        self._request = self._describe(session_name)
        stage_run = StageRun(self._request, runtime.pool, runtime.healths, runtime.settings.call_timeout)
        self._generation = Generation(self._request, stage_run, runtime.placement, runtime.mover, runtime.metrics)
        self._pieces: AsyncGenerator[Piece | NotRun | Unknown, None] = self._generation.run()
        self._closed = False

    @property
    def headers(self) -> dict[str, str]:
        """Headers that name the request and the route it started on."""
        return {
            REQUEST_HEADER: self._account.id,
            ROUTE_HEADER: self._generation.routes[-1],
            "Cache-Control": "no-store",
        }

    def _describe(self, session_name: str) -> AnswerRequest:
        chat = self._chat
        text = render_prompt(chat.body.messages)
        affinity = session_name or chat.body.user or xxhash.xxh3_64_hexdigest(text[:PREFIX_CHARACTERS].encode())
        work_class = self._runtime.in_force.view.find_class(chat.call.customer)
        seed = chat.body.seed
        if seed is None:
            seed = xxhash.xxh3_64_intdigest(self._account.id.encode()) >> 1
        return AnswerRequest(
            id=self._account.id,
            session=SessionId(self._account.id),
            customer=chat.call.customer.name,
            work_class=work_class.name,
            priority=work_class.priority,
            pipeline=chat.pipeline,
            prompt=encode_prompt(text),
            seed=seed,
            max_tokens=chat.body.max_completion_tokens or chat.body.max_tokens or DEFAULT_MAX_TOKENS,
            affinity=f"{chat.call.customer.name} {affinity}",
            deadline=self._account.started + chat.call.timeout,
        )

    async def start(self) -> Piece | NotRun | Unknown:
        """Wait for a place and the first token; claim a request that must run at most once in between."""
        self._runtime.generations[self._account.id] = self._generation
        refusal = await self._enter_pipeline()
        if refusal is not None:
            self._outcome = refusal
            return refusal
        if self._chat.call.repeat_key is not None:
            claim = await self._runtime.claims.claim(self._chat.call.customer.name, self._chat.call.repeat_key)
            if not isinstance(claim, Claim):
                self._outcome = claim
                return claim
            self._claim = claim
        first = await anext(self._pieces)
        if not isinstance(first, Piece):
            self._outcome = first
        return first

    async def _enter_pipeline(self) -> NotRun | None:
        customer = self._chat.call.customer
        work_class = self._runtime.in_force.view.find_class(customer)
        refusal = await self._runtime.admission.enter_pipeline(self._chat.pipeline, customer, work_class)
        self._has_place = refusal is None
        return refusal

    async def _follow(self, first: Piece) -> AsyncIterator[Piece | NotRun | Unknown]:
        self._note(first)
        yield first
        async for piece in self._pieces:
            self._note(piece)
            yield piece

    def _note(self, piece: Piece | NotRun | Unknown) -> None:
        if not isinstance(piece, Piece):
            self._outcome = piece
            return
        self._account.note_token()
        if piece.last:
            self._outcome = None

    async def collect(self, first: Piece) -> Response:
        """Answer with the whole text, or with an error if its end was not reached."""
        texts: list[str] = []
        async for piece in self._follow(first):
            if not isinstance(piece, Piece):
                return answer_error(piece)
            texts.append(piece.text)
        prompt_tokens = count_tokens(self._request.prompt)
        completion = ChatCompletion(
            id=self._account.id,
            created=self._created,
            model=self._chat.body.model,
            choices=[Choice(AnswerMessage("".join(texts)), self._describe_end())],
            usage=Usage(prompt_tokens, len(texts), prompt_tokens + len(texts)),
        )
        return Response(msgspec.json.encode(completion), headers=self.headers, media_type="application/json")

    async def stream(self, first: Piece) -> AsyncIterator[bytes]:
        """Stream one event a token; only the end mark after the last one makes the answer whole."""
        try:
            async for piece in self._follow(first):
                if not isinstance(piece, Piece):
                    yield b"data: " + msgspec.json.encode(describe_error(piece)) + b"\n\n"
                    return
                yield self._encode_event(piece)
            yield self._encode_finish()
            yield _DONE
        finally:
            await self.close()

    def _encode_event(self, piece: Piece) -> bytes:
        chunk = self._make_chunk(Delta(content=piece.text), None)
        return b"id: %d\ndata: %s\n\n" % (piece.position, chunk)

    def _encode_finish(self) -> bytes:
        return b"data: " + self._make_chunk(Delta(), self._describe_end()) + b"\n\n"

    def _make_chunk(self, delta: Delta, finish_reason: str | None) -> bytes:
        choice = ChunkChoice(delta, finish_reason)
        return msgspec.json.encode(Chunk(self._account.id, self._created, self._chat.body.model, [choice]))

    def _describe_end(self) -> str:
        return "length" if self._account.tokens >= self._request.max_tokens else "stop"

    async def close(self) -> None:
        """Release what the answer holds; safe to call twice."""
        if self._closed:
            return
        self._closed = True
        self._runtime.generations.pop(self._account.id, None)
        if self._has_place:
            self._runtime.admission.leave_pipeline(self._chat.pipeline, time.monotonic() - self._account.started)
        self._runtime.admission.leave(self._chat.call.customer)
        self._account.close(self._outcome)
        await self._pieces.aclose()
        if self._claim is not None and isinstance(self._outcome, NotRun):
            await self._runtime.claims.release(self._claim)


__all__ = ["complete_chat", "list_models"]
