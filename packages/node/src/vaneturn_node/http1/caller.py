"""Short HTTP calls: a request and its whole answer within a time limit."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from vaneturn_core.traffic.completeness import AnswerEnd, BodyEnd, Completeness, Framing, find_document_end, judge_end
from vaneturn_node.bytebudget import ByteHolder
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import MAX_WHOLE_BYTES, AnswerHead, HttpLink, LinkError
from vaneturn_node.http1.messages import Headers, find_header, parse_count
from vaneturn_node.http1.pool import LinkPool


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    body: bytes
    headers: Headers = ()


@dataclass(frozen=True, slots=True)
class Failed:
    """A call without a whole answer."""

    cause: str
    was_sent: bool  # a part of the request may have been sent
    has_answered: bool = False  # the other side has sent an answer that was of no use
    is_gone: bool = False  # the connection was refused, or another server is at the address
    is_unfinished: bool = False  # the answer was still arriving when the time limit ended
    has_no_memory: bool = False  # an answer came, but this process had no room for it
    is_too_long: bool = False  # the answer is longer than any that this process takes
    received: int = 0  # bytes of the body that came


@dataclass(slots=True)
class BodyArrival:
    """Time limits of a long answer, and the time when its last bytes arrived."""

    extra_time: float  # seconds added to the limit once an answer has begun; infinite if only stall_timeout limits it
    stall_timeout: float  # seconds without a byte after which the call fails
    last_data_at: float = float("-inf")  # monotonic time when bytes of a body last arrived


@dataclass(slots=True)
class _Body:
    """The body of an answer as it arrives."""

    parts: list[bytes] = field(default_factory=list)  # empty after an eviction
    received: int = 0  # bytes

    def add(self, data: bytes) -> None:
        self.parts.append(data)
        self.received += len(data)


def _is_any_due(_: Headers) -> bool:
    return True


class Caller:
    """Makes short calls over pooled connections."""

    def __init__(self, pool: LinkPool) -> None:
        self._pool = pool

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        limit: float,
        *,
        body: bytes = b"",
        headers: Headers = (),
        arrival: BodyArrival | None = None,
        is_due: Callable[[Headers], bool] = _is_any_due,
    ) -> Reply | Failed:
        """Call a server; the limit in seconds covers the whole call, and `arrival` extends it for a long answer.

        :param is_due: tells from the headers of an answer whether it may be the one to this call.
        """
        link: HttpLink | None = None
        answer_body = _Body()
        holder = self._pool.call_budget.open(answer_body.parts.clear, is_answer=True)
        head = [(b"host", address.encode()), *headers]
        if body:
            head.append((b"content-type", b"application/json"))
        try:
            with anyio.move_on_after(limit) as scope:
                link = await self._pool.acquire(address)
                await link.send(method, target, head, body, limit)
                answer = await _read_head(link, limit, is_due)
                if arrival is not None:
                    scope.deadline += arrival.extra_time
                await _read_body(link, limit, arrival, answer_body, holder)
            # the call is cancelled as well if the limit passed just before it was extended, which fail_after ignores
            if scope.cancelled_caught or link is None:
                raise TimeoutError  # noqa: TRY301
        except TimeoutError:
            await _abort(link)
            count = answer_body.received
            cause = f"answer not whole in time, {count} bytes of it came" if count else "no answer in time"
            return Failed(cause, was_sent=link is not None, is_unfinished=bool(count), received=count)
        except LinkError as error:
            await _abort(link)
            return Failed(
                error.cause,
                was_sent=error.was_sent,
                has_answered=error.has_no_memory,
                is_gone=error.is_refused,
                has_no_memory=error.has_no_memory,
                is_too_long=error.is_too_long,
                received=answer_body.received,
            )
        except BaseException:
            await _abort(link)
            raise
        finally:
            holder.release()
        whole = b"".join(answer_body.parts)
        if not _is_whole(link, whole):
            await _abort(link)
            cause = "answer broken off: its connection was closed inside its body"
            return Failed(cause, was_sent=True, received=answer_body.received)
        await self._pool.release(link, address)
        return Reply(answer.status, whole, answer.headers)


async def _read_head(link: HttpLink, limit: float, is_due: Callable[[Headers], bool]) -> AnswerHead:
    answer = await link.read_head(limit)
    if not is_due(answer.headers):
        raise link.reject("to this call")
    length = parse_count(find_header(answer.headers, b"content-length") or b"") or 0
    if length > MAX_WHOLE_BYTES:
        raise link.reject(f"body too long, {length} bytes", is_too_long=True)
    return answer


async def _read_body(
    link: HttpLink, limit: float, arrival: BodyArrival | None, body: _Body, holder: ByteHolder
) -> None:
    while (data := await link.read_data(limit if arrival is None else arrival.stall_timeout)) is not None:
        link.hold(holder, body.received + len(data))
        body.add(data)
        if arrival is not None:
            arrival.last_data_at = read_clock()
    link.hold(holder, body.received, is_whole=True)


def _is_whole(link: HttpLink, body: bytes) -> bool:
    """Decide whether an answer that was read to its end is whole.

    Only that of an older or faulty program has neither a length nor chunks. Its body is a JSON object or array, no part
    of which is one, or is not needed.
    """
    assert link.framing is not None  # noqa: S101 # its head has arrived
    assert link.ending is not None  # noqa: S101 # it was read to its end
    body_end = BodyEnd.UNKNOWN
    if link.framing is Framing.CLOSE:
        body_end = find_document_end(body) if body else BodyEnd.NOT_NEEDED  # whoever needs one finds that there is none
    return judge_end(AnswerEnd(link.framing, link.ending, body_end)) is Completeness.WHOLE


async def _abort(link: HttpLink | None) -> None:
    if link is None:
        return
    with anyio.CancelScope(shield=True):
        await link.abort()


__all__ = ["BodyArrival", "Caller", "Failed", "Reply"]
