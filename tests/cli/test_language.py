"""Tests that lines of the query and command language parse, and that syntax errors point at the faulty column."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from vaneturn_cli.editing import edit_configuration
from vaneturn_cli.language import (
    Condition,
    Drain,
    Operator,
    RollOut,
    SetPreference,
    SetPriority,
    Show,
    Statement,
    SyntaxFault,
    Topic,
    Undrain,
    WhyRefused,
    WhySession,
    WhyVm,
    parse_statement,
)
from vaneturn_core.configuration.schema import Configuration, Preference, Server, WorkClass
from vaneturn_core.identifiers import ClassName, DataHall, PipelineName, RequestId, VmId


@pytest.mark.parametrize(
    ("line", "statement"),
    [
        ("show pipelines", Show(Topic.PIPELINES)),
        ("show vms where hall = osborne", Show(Topic.VMS, (Condition("hall", Operator.EQUAL, "osborne"),))),
        (
            'show vms where steps > 3 and work ~ "ledgerlm[0"',
            Show(
                Topic.VMS,
                (Condition("steps", Operator.GREATER, "3"), Condition("work", Operator.CONTAINS, "ledgerlm[0")),
            ),
        ),
        ("why session 12ab", WhySession(RequestId("12ab"))),
        ("why vm runner-0a", WhyVm(VmId("runner-0a"))),
        ("why refused 12ab", WhyRefused(RequestId("12ab"))),
        ("drain vm runner-0a", Drain(VmId("runner-0a"))),
        ("undrain vm runner-0a", Undrain(VmId("runner-0a"))),
        ("set priority portal 3", SetPriority(ClassName("portal"), 3)),
        ("set pipeline ledgerlm preference recovery", SetPreference(PipelineName("ledgerlm"), Preference.RECOVERY)),
        ("roll out ledgerlm version 2", RollOut(PipelineName("ledgerlm"), "2")),
    ],
)
def test_line_parses_to_statement(line: str, statement: Statement) -> None:
    assert parse_statement(line) == statement


@pytest.mark.parametrize(
    ("line", "column"),
    [("show everything", 6), ("drain runner", 7), ("show vms where hall", 20), ("set priority portal 12", 21)],
)
def test_syntax_fault_points_at_column(line: str, column: int) -> None:
    fault = parse_statement(line)
    assert isinstance(fault, SyntaxFault)
    assert fault.column == column
    assert fault.expected


@given(st.text(max_size=40))
def test_any_text_parses_without_exception(line: str) -> None:
    parse_statement(line)


def test_edits_change_only_their_entries() -> None:
    server = Server(vm=VmId("a"), address="127.0.0.1:1", data_hall=DataHall("h"))
    classes = (WorkClass(name=ClassName("p"), priority=1), WorkClass(name=ClassName("q"), priority=2))
    configuration = Configuration(servers=(server,), classes=classes)
    drained = edit_configuration(configuration, Drain(VmId("a")))
    assert isinstance(drained, Configuration)
    assert drained.draining == ("a",)
    assert edit_configuration(drained, Undrain(VmId("a"))) == configuration
    shifted = edit_configuration(configuration, SetPriority(ClassName("q"), 0))
    assert isinstance(shifted, Configuration)
    assert [work_class.priority for work_class in shifted.classes] == [1, 0]


@pytest.mark.parametrize("edit", [Drain(VmId("x")), Undrain(VmId("x")), SetPriority(ClassName("x"), 1)])
def test_edit_of_undeclared_entry_is_refused(edit: Drain | Undrain | SetPriority) -> None:
    assert isinstance(edit_configuration(Configuration(), edit), str)
