"""The answer of the node that has accepted a forwarded request."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.completeness import BodyEnd
from vaneturn_node.http1.link import AnswerHead, HttpLink
from vaneturn_node.http1.messages import find_header, parse_decimal
from vaneturn_node.platform.directives import RETRY_AFTER
from vaneturn_node.traffic.serving.answerends import AnswerEnds
from vaneturn_node.traffic.serving.attempts import AttemptLoan
from vaneturn_node.traffic.serving.outcomes import Answered, MayHaveRun, OwnAnswer, Reason
from vaneturn_node.traffic.sharing.forwarding import AnswerKind, AnswerMarks


class _ErrorBody(msgspec.Struct):
    """The body of an answer that a node makes itself."""

    error: str = ""
    cause: str = ""


@dataclass
class PeerAnswer:
    """The answer of the node that has accepted a request; its body is still to be read."""

    peer: VmId
    link: HttpLink
    head: AnswerHead  # without marks
    marks: AnswerMarks
    loan: AttemptLoan

    async def read_whole(self, ends: AnswerEnds, limit: float) -> Answered | OwnAnswer | MayHaveRun:
        """Read the rest of an answer that is not a stream.

        :raises LinkError: it did not arrive whole, or not in time.
        """
        body = await ends.read_whole(self.link, limit, BodyEnd.UNKNOWN, None)
        self.loan.settle(self.marks.runs, self.marks.attempted)
        if self.marks.kind is AnswerKind.SERVER:
            return Answered(self.head.status, self.head.headers, body)
        return self._decode_own(body)

    def _decode_own(self, body: bytes) -> OwnAnswer | MayHaveRun:
        try:
            error = decode_json(body, _ErrorBody)
        except MalformedError:
            error = _ErrorBody()
        cause = f"{self.peer}: {error.cause or error.error}"
        known = {reason.value: reason for reason in Reason}
        reason = known.get(error.error, Reason.NOT_RUN if self.head.status == 503 else Reason.MAY_HAVE_RUN)  # noqa: PLR2004 # "not run" for both interfaces
        if reason is Reason.MAY_HAVE_RUN:
            return MayHaveRun(cause)
        retry_after = find_header(self.head.headers, RETRY_AFTER)
        return OwnAnswer(
            self.head.status, reason, parse_decimal(retry_after) if retry_after is not None else None, cause
        )


__all__ = ["PeerAnswer"]
