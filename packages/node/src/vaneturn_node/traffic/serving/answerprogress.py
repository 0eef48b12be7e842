"""What the client of a request has received so far, and how the answers of its servers ended."""

from __future__ import annotations

from dataclasses import dataclass, field

from vaneturn_core.traffic.completeness import AnswerEnd
from vaneturn_core.traffic.pace import Pause
from vaneturn_node.bytebudget import ByteHolder


@dataclass(kw_only=True)
class AnswerProgress:
    """The progress of the answer to one request."""

    events: int = 0  # of a stream, relayed to the client
    first_event: float = 0.0  # seconds from the request's arrival to the first event of a stream
    last_event: float = 0.0  # the same to the newest event
    answer_end: AnswerEnd | None = None  # of the newest answer of a server that ended by itself
    broken_answers: list[AnswerEnd] = field(default_factory=list)  # answers of servers that were broken off
    held_answers: list[ByteHolder] = field(default_factory=list)  # released when it has ended
    longest_pause: Pause | None = None  # between two events of a stream


__all__ = ["AnswerProgress"]
