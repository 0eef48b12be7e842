"""A request for an answer, the items that its generation yields, and its state for operators."""

from __future__ import annotations

from dataclasses import dataclass

from vaneturn_core.configuration.schema import Pipeline
from vaneturn_core.identifiers import ClassName, CustomerName, PipelineName, RequestId, SessionId
from vaneturn_core.outcomes import NotRun, Unknown
from vaneturn_node.answers.resume import ResumePoint


@dataclass(frozen=True)
class AnswerRequest:
    """An admitted and validated request for an answer."""

    id: RequestId
    session: SessionId
    customer: CustomerName
    work_class: ClassName
    priority: int
    pipeline: Pipeline  # with the version of the answer, which is fixed at its first token
    prompt: bytes  # tokens
    seed: int
    max_tokens: int
    affinity: str
    deadline: float  # time of read_clock()
    resumed: ResumePoint | None = None


@dataclass(frozen=True)
class GeneratedToken:
    """One generated token."""

    position: int  # index of the token in prompt and answer
    token: int
    text: str
    last: bool


@dataclass(frozen=True)
class GenerationState:
    """An answer in progress, as shown to operators."""

    request: RequestId
    customer: CustomerName
    pipeline: PipelineName
    routes: tuple[str, ...]  # newest last
    recoveries: int


GenerationItem = GeneratedToken | NotRun | Unknown

__all__ = ["AnswerRequest", "GeneratedToken", "GenerationItem", "GenerationState"]
