"""Chat completions: whole answers and streams of server-sent events."""

from __future__ import annotations

from dataclasses import replace

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from vaneturn_core.configuration.schema import Pipeline
from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.engine.tokens import encode_prompt
from vaneturn_core.identifiers import PipelineName
from vaneturn_core.outcomes import NotRun, Reason, Unknown
from vaneturn_node.answers.resume import ResumeCodec, ResumePoint, digest_prompt
from vaneturn_node.http.answering import PREFIX_BYTES, Answer, ChatCall
from vaneturn_node.http.answerresponse import AnswerResponse
from vaneturn_node.http.chatformat import ChatRequest, ModelCard, ModelList
from vaneturn_node.http.errors import answer_error
from vaneturn_node.http.reading import RESUME_HEADER, SESSION_HEADER, Call, find_customer, read_call
from vaneturn_node.http.refusing import RefusedRequest
from vaneturn_node.http.rendering import render_prompt
from vaneturn_node.peers.seal import Sealer
from vaneturn_node.runtime import Runtime, open_account


async def list_models(request: Request, runtime: Runtime) -> Response:
    """List the pipelines by the names that callers use."""
    customer = find_customer(request, runtime.in_force.view)
    if isinstance(customer, RefusedRequest):
        return answer_error(customer.outcome, customer.message)
    cards = [ModelCard(name) for name in runtime.in_force.view.list_pipelines()]
    return Response(msgspec.json.encode(ModelList(cards)), media_type="application/json")


async def complete_chat(request: Request, runtime: Runtime) -> Response:
    """Answer a chat request, or resume one whose connection was lost."""
    chat = await _read_chat(request, runtime)
    if isinstance(chat, RefusedRequest):
        return answer_error(chat.outcome, chat.message)
    account = open_account(runtime, chat.call.customer, chat.pipeline.name)
    refusal = runtime.admission.enter(chat.call.customer)
    if refusal is not None:
        account.close(refusal)
        return answer_error(refusal, request=account.id)
    answer = Answer(runtime, chat, account, request.headers.get(SESSION_HEADER, ""))
    response: Response | None = None
    try:
        response = await _respond(answer, is_stream=chat.body.stream)
        return response
    finally:
        if not isinstance(response, AnswerResponse):
            await answer.close()


async def _respond(answer: Answer, *, is_stream: bool) -> Response:
    first = await answer.start()
    if isinstance(first, NotRun | Unknown):
        return answer_error(first, request=answer.id)
    if is_stream or first is None:
        return AnswerResponse(answer, first)
    return await answer.collect(first)


async def _read_chat(request: Request, runtime: Runtime) -> ChatCall | RefusedRequest:
    view = runtime.in_force.view
    customer = find_customer(request, view)
    if isinstance(customer, RefusedRequest):
        return customer
    call = await read_call(request, customer, runtime.settings.body_pause, key_required=False)
    if isinstance(call, RefusedRequest):
        return call
    try:
        body = decode_json(call.body, ChatRequest)
    except MalformedError as error:
        return RefusedRequest(NotRun(Reason.MALFORMED), str(error))
    call = replace(call, body=b"")  # only one copy of the content is kept
    pipeline = view.find_pipeline(PipelineName(body.model))
    if pipeline is None:
        return RefusedRequest(NotRun(Reason.UNKNOWN_MODEL), f"unknown model {body.model!r}")
    text = render_prompt(body.messages)
    body = msgspec.structs.replace(body, messages=[])
    chat = ChatCall(
        call,
        body,
        view.find_class(customer),
        pipeline,
        bytes(text[:PREFIX_BYTES]),
        encode_prompt(text),
        None,
    )
    return _read_resume_point(request, runtime, chat)


def _read_resume_point(request: Request, runtime: Runtime, chat: ChatCall) -> ChatCall | RefusedRequest:
    """Read the resume point, if the request has one; a resumed answer keeps its pipeline version."""
    text = request.headers.get(RESUME_HEADER)
    if text is None or not chat.body.stream:
        return chat
    point = ResumeCodec(Sealer(runtime.settings.cluster_key)).decode(text)
    if point is None or not _matches_request(point, chat.call, chat.pipeline, chat.prompt):
        return RefusedRequest(
            NotRun(Reason.NOT_RESUMABLE), f"{RESUME_HEADER} is not the id of an event of this request"
        )
    pipeline = msgspec.structs.replace(chat.pipeline, version=point.version)
    return replace(chat, pipeline=pipeline, resumed=point)


def _matches_request(point: ResumePoint, call: Call, pipeline: Pipeline, prompt: bytes) -> bool:
    same_customer = point.customer == call.customer.name
    return same_customer and point.pipeline == pipeline.name and point.prompt_digest == digest_prompt(prompt)


__all__ = ["complete_chat", "list_models"]
