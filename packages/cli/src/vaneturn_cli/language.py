"""The operators' query and command language: its grammar and its statements."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedInput, UnexpectedToken, VisitError

from vaneturn_core.configuration.schema import Preference
from vaneturn_core.identifiers import ClassName, PipelineName, RequestId, VmId

GRAMMAR: Final = r"""
start: show | why_session | why_vm | why_refused | drain | undrain | set_priority | set_preference | roll_out

show: "show" TOPIC ("where" condition ("and" condition)*)?
why_session: "why" "session" VALUE
why_vm: "why" "vm" VALUE
why_refused: "why" "refused" VALUE
drain: "drain" "vm" VALUE
undrain: "undrain" "vm" VALUE
set_priority: "set" "priority" VALUE PRIORITY
set_preference: "set" "pipeline" VALUE "preference" PREFERENCE
roll_out: "roll" "out" VALUE "version" VALUE

condition: VALUE OPERATOR VALUE

TOPIC.2: "pipelines" | "vms" | "sessions" | "customers" | "changes" | "nodes"
PREFERENCE.2: "throughput" | "recovery"
PRIORITY.1: /[0-9](?![\w.-])/
OPERATOR: "=" | "!=" | "<" | ">" | "~"
VALUE: /[\w.:\/\[\],-]+/ | /"[^"]*"/

%import common.WS
%ignore WS
"""


class Topic(Enum):
    """Tables that can be shown."""

    PIPELINES = "pipelines"
    VMS = "vms"
    SESSIONS = "sessions"
    CUSTOMERS = "customers"
    CHANGES = "changes"
    NODES = "nodes"


class Operator(Enum):
    """Comparison operators of conditions; ~ means 'contains'."""

    EQUAL = "="
    UNEQUAL = "!="
    LESS = "<"
    GREATER = ">"
    CONTAINS = "~"


@dataclass(frozen=True)
class Condition:
    """A column compared with a value."""

    column: str
    operator: Operator
    value: str


@dataclass(frozen=True)
class Show:
    """Show a table."""

    topic: Topic
    conditions: tuple[Condition, ...] = ()


@dataclass(frozen=True)
class WhySession:
    """Explain where an answer in progress runs, and why there."""

    request: RequestId


@dataclass(frozen=True)
class WhyVm:
    """Explain what a VM is used for, and why not for more."""

    vm: VmId


@dataclass(frozen=True)
class WhyRefused:
    """Explain how a request ended."""

    request: RequestId


@dataclass(frozen=True)
class Drain:
    """Stop assigning new work to a VM."""

    vm: VmId


@dataclass(frozen=True)
class Undrain:
    """Assign work to a VM again."""

    vm: VmId


@dataclass(frozen=True)
class SetPriority:
    """Set the priority of a work class."""

    work_class: ClassName
    priority: int


@dataclass(frozen=True)
class SetPreference:
    """Set whether a pipeline prefers throughput or recovery."""

    pipeline: PipelineName
    preference: Preference


@dataclass(frozen=True)
class RollOut:
    """Serve another version of a pipeline's model; answers in progress keep their version."""

    pipeline: PipelineName
    version: str


Query = Show | WhySession | WhyVm | WhyRefused
Edit = Drain | Undrain | SetPriority | SetPreference | RollOut
Statement = Query | Edit


@dataclass(frozen=True)
class SyntaxFault:
    """A syntax error in a line."""

    line: str
    column: int  # from 1
    expected: tuple[str, ...]

    def __str__(self) -> str:
        marker = " " * (self.column - 1) + "^"
        return f"{self.line}\n{marker}\nexpected one of: {', '.join(self.expected)}"


class _StatementTransformer(Transformer[Token, Statement]):
    """Turns the parse tree of a line into its statement."""

    def start(self, parts: list[Statement]) -> Statement:
        return parts[0]

    def show(self, parts: list[Any]) -> Show:
        return Show(Topic(str(parts[0])), tuple(parts[1:]))

    def condition(self, parts: list[Token]) -> Condition:
        return Condition(_unquote(parts[0]), Operator(str(parts[1])), _unquote(parts[2]))

    def why_session(self, parts: list[Token]) -> WhySession:
        return WhySession(RequestId(_unquote(parts[0])))

    def why_vm(self, parts: list[Token]) -> WhyVm:
        return WhyVm(VmId(_unquote(parts[0])))

    def why_refused(self, parts: list[Token]) -> WhyRefused:
        return WhyRefused(RequestId(_unquote(parts[0])))

    def drain(self, parts: list[Token]) -> Drain:
        return Drain(VmId(_unquote(parts[0])))

    def undrain(self, parts: list[Token]) -> Undrain:
        return Undrain(VmId(_unquote(parts[0])))

    def set_priority(self, parts: list[Token]) -> SetPriority:
        return SetPriority(ClassName(_unquote(parts[0])), int(parts[1]))

    def set_preference(self, parts: list[Token]) -> SetPreference:
        return SetPreference(PipelineName(_unquote(parts[0])), Preference(str(parts[1])))

    def roll_out(self, parts: list[Token]) -> RollOut:
        return RollOut(PipelineName(_unquote(parts[0])), _unquote(parts[1]))


_PARSER: Final = Lark(GRAMMAR, parser="lalr")


def parse_statement(line: str) -> Statement | SyntaxFault:
    """Parse one line."""
    try:
        return _StatementTransformer().transform(_PARSER.parse(line))
    except UnexpectedInput as error:
        is_at_end = error.column < 1 or (isinstance(error, UnexpectedToken) and error.token.type == "$END")
        column = len(line) + 1 if is_at_end else error.column
        return SyntaxFault(line, column, tuple(sorted(_list_expected(error))))
    except VisitError as error:
        return SyntaxFault(line, 1, (str(error.orig_exc),))


def _list_expected(error: UnexpectedInput) -> set[str]:
    names: set[str] = set(getattr(error, "accepts", None) or getattr(error, "expected", None) or ())
    names |= set(getattr(error, "allowed", None) or ())
    return {_TOKEN_DESCRIPTIONS.get(name, name.lower()) for name in names - {"WS"}}


_TOKEN_DESCRIPTIONS: Final = {
    "$END": "the end",
    "TOPIC": " ".join(topic.value for topic in Topic),
    "OPERATOR": "= != < > ~",
    "VALUE": "a name",
    "PRIORITY": "a priority from 0 to 9",
    "PREFERENCE": "throughput or recovery",
}


def _unquote(token: Token) -> str:
    return str(token).strip('"')


__all__ = [
    "Condition",
    "Drain",
    "Edit",
    "Operator",
    "Query",
    "RollOut",
    "SetPreference",
    "SetPriority",
    "Show",
    "Statement",
    "SyntaxFault",
    "Topic",
    "Undrain",
    "WhyRefused",
    "WhySession",
    "WhyVm",
    "parse_statement",
]
