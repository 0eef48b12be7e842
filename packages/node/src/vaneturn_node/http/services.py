"""Calls of plain services."""

from __future__ import annotations

import logging
import random
from typing import Final

import anyio
import httpx
from starlette.requests import Request
from starlette.responses import Response

from vaneturn_core.configuration.schema import Server, Service
from vaneturn_core.identifiers import RepeatKey, RequestId, ServiceName, VmId
from vaneturn_core.outcomes import Completed, NotRun, Outcome, Reason, Unknown
from vaneturn_core.traffic.completeness import Completeness, judge_end
from vaneturn_node.bytebudget import BudgetUsedUpError, ByteHolder
from vaneturn_node.claims.ports import Claim
from vaneturn_node.clock import read_clock
from vaneturn_node.http.accounting import Account
from vaneturn_node.http.bounding import find_bounds
from vaneturn_node.http.errors import answer_error
from vaneturn_node.http.reading import Call, find_customer, read_call
from vaneturn_node.http.refusing import RefusedRequest
from vaneturn_node.http.serviceanswers import AnswerTooLongError, read_answer
from vaneturn_node.http1.messages import MAX_REST_S, MAX_STATUS, parse_decimal
from vaneturn_node.http1.responses import find_end, find_framing
from vaneturn_node.runtime import Runtime, open_account

CONNECT_TIMEOUT_S: Final = 1.0
MAX_TRIES: Final = 3
RETRY_AFTER_HEADER: Final = "Retry-After"
BACKOFF_S: Final = 0.05  # multiplied by the number of earlier tries
_REFUSED_STATUSES: Final = (httpx.codes.TOO_MANY_REQUESTS, httpx.codes.SERVICE_UNAVAILABLE)
_FORWARDED_HEADERS: Final = ("Accept", "Content-Type", "Idempotency-Key")
# raised before any byte of the request was written
_NOT_SENT: Final = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout, httpx.UnsupportedProtocol)

logger = logging.getLogger(__name__)


async def call_service(request: Request, runtime: Runtime) -> Response:
    """Forward a call to one of the service's servers."""
    view = runtime.in_force.view
    customer = find_customer(request, view)
    if isinstance(customer, RefusedRequest):
        return answer_error(customer.outcome, customer.message)
    service = view.find_service(ServiceName(request.path_params["name"]))
    if service is None:
        return answer_error(NotRun(Reason.UNKNOWN_SERVICE), "unknown service")
    key_required = request.method not in service.repeatable_methods
    call = await read_call(request, customer, runtime.settings.body_pause, key_required=key_required)
    if isinstance(call, RefusedRequest):
        return answer_error(call.outcome, call.message)
    account = open_account(runtime, customer, service.name)
    refusal = runtime.admission.enter(customer)
    if refusal is not None:
        account.close(refusal)
        return answer_error(refusal, request=account.id)
    try:
        return _make_response(await _ServiceCall(runtime, service, request, call, account).run(), account.id)
    finally:
        runtime.admission.leave(customer)


def _make_response(outcome: Outcome, request: RequestId) -> Response:
    if isinstance(outcome, Completed):
        headers = {RETRY_AFTER_HEADER: outcome.retry_after} if outcome.retry_after is not None else {}
        return Response(outcome.body, outcome.status, headers, outcome.content_type)
    return answer_error(outcome, request=request)


class _ServiceCall:
    """One call, with retries where they are allowed."""

    def __init__(self, runtime: Runtime, service: Service, request: Request, call: Call, account: Account) -> None:
        self._runtime = runtime
        self._service = service
        self._request = request
        self._call = call
        self._account = account
        self._deadline = self._account.started + call.timeout
        self._is_sent = False

    async def run(self) -> Outcome:
        """Run the call, at most once if it has a repeat key."""
        outcome: Outcome = Unknown(Reason.CONNECTION_LOST)
        repeat_key = self._call.repeat_key
        try:
            outcome = await self._run_claimed(repeat_key) if repeat_key else await self._try_until_stop(repeatable=True)
        finally:
            self._account.close(None if isinstance(outcome, Completed) else outcome)
        return outcome

    async def _run_claimed(self, repeat_key: RepeatKey) -> Outcome:
        claim = await self._runtime.claims.claim(self._call.customer.name, repeat_key)
        if not isinstance(claim, Claim):
            return claim
        outcome = await self._try_until_stop(repeatable=False)
        if isinstance(outcome, NotRun):
            await self._runtime.claims.release(claim)
        return outcome

    async def _try_until_stop(self, *, repeatable: bool) -> Outcome:
        """Try servers until the call has ended or a planned stop aborts it."""
        outcome: Outcome | None = None
        with self._runtime.admission.open_scope():
            outcome = await self._try_servers(repeatable=repeatable)
        if outcome is not None:
            return outcome
        return Unknown(Reason.STOPPING) if self._is_sent else NotRun(Reason.STOPPING)

    async def _try_servers(self, *, repeatable: bool) -> Outcome:
        """Try servers in turn; after a try that may have run, only if the call may be repeated."""
        outcome: Outcome = NotRun(Reason.NO_ROUTE)
        remaining_rests = [self._runtime.healths.compute_remaining_rest(vm) for vm in self._service.servers]
        if remaining_rests and min(remaining_rests) > 0:
            return NotRun(Reason.OVERLOAD, retry_after=min(remaining_rests))
        budget = self._runtime.retry_budget
        budget.earn()
        for earlier_tries, vm in enumerate(self._rank_servers()[:MAX_TRIES]):
            if read_clock() >= self._deadline or (earlier_tries and not budget.spend()):
                break
            await anyio.sleep(random.uniform(0, BACKOFF_S * earlier_tries))  # full jitter, none before the first try
            outcome = await self._send(vm)
            if isinstance(outcome, Completed) or (isinstance(outcome, Unknown) and not repeatable):
                break
        return outcome

    def _rank_servers(self) -> list[VmId]:
        """Rank the usable servers: the less loaded of two random ones first."""
        healths = self._runtime.healths
        leaving = healths.list_leaving()
        usable = [vm for vm in self._service.servers if vm not in leaving and not healths.compute_remaining_rest(vm)]
        random.shuffle(usable)
        usable[:2] = sorted(usable[:2], key=lambda vm: healths[vm].in_progress)
        ejected = healths.list_ejected()
        return sorted(usable, key=lambda vm: vm in ejected)

    async def _send(self, vm: VmId) -> Outcome:
        server = self._runtime.in_force.view.find_server(vm)
        if server is None:
            return NotRun(Reason.NO_ROUTE)
        health = self._runtime.healths[vm]
        health.in_progress += 1
        started = read_clock()
        self._is_sent = True
        holder = find_bounds(self._request).open_answer()
        outcome: Outcome | None = None
        try:
            response, body = await self._request_whole(server, holder)
        except BudgetUsedUpError:
            logger.info("no memory for an answer", extra={"vm": vm})
            outcome = Unknown(Reason.OVERLOAD)
        except (httpx.HTTPError, AnswerTooLongError) as error:
            self._runtime.healths.record_failure(vm)
            outcome = NotRun(Reason.NO_ROUTE) if isinstance(error, _NOT_SENT) else Unknown(Reason.CONNECTION_LOST)
        finally:
            health.in_progress -= 1
        if outcome is None and response.status_code > MAX_STATUS:
            logger.info("answer without a valid status", extra={"vm": vm, "status": response.status_code})
            self._runtime.healths.record_failure(vm)
            outcome = Unknown(Reason.CONNECTION_LOST)
        if outcome is None and not await _is_whole(response, body, server, self._deadline - read_clock()):
            self._runtime.healths.record_failure(vm)
            outcome = Unknown(Reason.CONNECTION_LOST)
        if outcome is not None:
            holder.release()
            return outcome
        self._runtime.healths.record_reply(vm, read_clock() - started)
        retry_after = response.headers.get(RETRY_AFTER_HEADER)
        seconds = parse_decimal(retry_after.encode()) if retry_after is not None else None
        if response.status_code in _REFUSED_STATUSES and seconds is not None:
            self._runtime.healths.record_rest(vm, min(seconds, MAX_REST_S))
            logger.info("server asked for rest", extra={"vm": vm, "seconds": seconds})
        return Completed(response.status_code, response.headers.get("Content-Type", ""), body, retry_after)

    async def _request_whole(self, server: Server, holder: ByteHolder) -> tuple[httpx.Response, bytes]:
        """Send the request to a server, and read its whole answer."""
        async with self._runtime.client.stream(
            self._request.method,
            f"http://{server.address}/{self._request.path_params['path']}",
            params=httpx.QueryParams(self._request.url.query),
            content=self._call.body,
            headers={name: self._request.headers[name] for name in _FORWARDED_HEADERS if name in self._request.headers},
            timeout=httpx.Timeout(max(0.001, self._deadline - read_clock()), connect=CONNECT_TIMEOUT_S),
        ) as response:
            find_bounds(self._request).hold_sent_body(len(self._call.body))
            return response, await read_answer(response, holder)


async def _is_whole(response: httpx.Response, body: bytes, server: Server, time_left: float) -> bool:
    """Decide whether an answer is whole; if only the end of its connection ends it, its server has to run on.

    :param time_left: seconds until the call must be answered.
    """
    completeness = judge_end(find_end(response, body))
    if completeness is Completeness.UNCONFIRMED:
        is_whole = await _accepts_connections(server, min(CONNECT_TIMEOUT_S, max(0.001, time_left)))
    else:
        is_whole = completeness is Completeness.WHOLE
    if not is_whole:
        logger.info("answer broken off", extra={"vm": server.vm, "framing": find_framing(response).value})
    return is_whole


async def _accepts_connections(server: Server, limit: float) -> bool:
    host, _, port = server.address.rpartition(":")
    try:
        with anyio.fail_after(limit):
            await (await anyio.connect_tcp(host, int(port))).aclose()
    except OSError:  # a TimeoutError is one
        return False
    return True


__all__ = ["call_service"]
