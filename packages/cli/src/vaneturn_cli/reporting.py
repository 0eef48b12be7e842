"""Reports on changes and on nodes that do not answer."""

from __future__ import annotations

import sys
from typing import Final

from vaneturn_cli.client import NoAnswer
from vaneturn_cli.exits import Exit
from vaneturn_core.identifiers import ChangeId
from vaneturn_core.operators import ChangeAnswer, ChangeStatus

_EXITS_BY_STATUS: Final = {
    ChangeStatus.APPLIED: Exit.DONE,
    ChangeStatus.REJECTED: Exit.INVALID_INPUT,
    ChangeStatus.OVERTAKEN: Exit.OVERTAKEN,
    ChangeStatus.NOT_ACCEPTED: Exit.NO_ANSWER,
    ChangeStatus.UNSETTLED: Exit.UNSETTLED,
    ChangeStatus.UNKNOWN: Exit.DIFFERENT_OR_UNKNOWN,
}


def report_no_answer(answer: NoAnswer) -> Exit:
    """Report that a node did not answer, so that nothing was changed."""
    print(f"no answer from {answer.node or 'any node'}: {answer.cause}", file=sys.stderr)
    return Exit.NO_ANSWER


def report_change(change: ChangeId, answer: ChangeAnswer | NoAnswer) -> Exit:
    """Report the result of a change."""
    if isinstance(answer, NoAnswer):
        print(f"change {change}: not known whether it took effect", file=sys.stderr)
        report_no_answer(answer)
        return Exit.UNSETTLED
    print(_describe_change(change, answer))
    return _EXITS_BY_STATUS[answer.result]


def _describe_change(change: ChangeId, answer: ChangeAnswer) -> str:
    lines = [f"change {change}: {answer.result.value}", *answer.faults]
    if answer.cause:
        lines.append(answer.cause)
    if answer.result is ChangeStatus.OVERTAKEN and answer.change is not None:
        earlier = answer.change
        lines.append(f"change {earlier.id} of {earlier.operator} came first, as revision {earlier.revision}")
    elif answer.change is not None:
        lines.append(f"revision {answer.change.revision}")
    return "\n".join(lines)


__all__ = ["report_change", "report_no_answer"]
