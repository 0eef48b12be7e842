"""Runs statements of the query and command language."""

from __future__ import annotations

import sys
import time
import uuid

import msgspec
from tabulate import tabulate

from vaneturn_cli.client import NoAnswer, OperatorClient
from vaneturn_cli.editing import edit_configuration
from vaneturn_cli.exits import Exit
from vaneturn_cli.language import (
    Edit,
    Query,
    Show,
    SyntaxFault,
    WhyRefused,
    WhySession,
    WhyVm,
    parse_statement,
)
from vaneturn_cli.reasons import explain_ended_request, explain_session, explain_vm
from vaneturn_cli.reporting import report_change, report_no_answer
from vaneturn_cli.tables import Table, View, make_table
from vaneturn_core.identifiers import ChangeId
from vaneturn_core.operators import NodeState, ProposalBody

PROMPT = "vaneturn> "


def run_statement(client: OperatorClient, line: str, *, as_json: bool) -> Exit:
    """Run one line."""
    statement = parse_statement(line)
    if isinstance(statement, SyntaxFault):
        print(statement, file=sys.stderr)
        return Exit.INVALID_INPUT
    if isinstance(statement, Show | WhySession | WhyVm | WhyRefused):
        return _answer_query(client, statement, as_json=as_json)
    return _apply_edit(client, statement, line)


def run_prompt(client: OperatorClient, *, as_json: bool) -> Exit:
    """Run lines until the end of the input."""
    while True:
        try:
            line = input(PROMPT if sys.stdin.isatty() else "").strip()
        except (EOFError, KeyboardInterrupt):
            return Exit.DONE
        if line in {"quit", "exit"}:
            return Exit.DONE
        if line:
            run_statement(client, line, as_json=as_json)


def _fetch_view(client: OperatorClient) -> View | NoAnswer:
    taken_at = time.monotonic()
    configuration = client.read_configuration()
    if isinstance(configuration, NoAnswer):
        return configuration
    answers = [client.read_state(node) for node in client.nodes]
    states = tuple(answer for answer in answers if isinstance(answer, NodeState))
    no_answers = tuple(answer for answer in answers if isinstance(answer, NoAnswer))
    return View(configuration, states, no_answers, taken_at)


def _answer_query(client: OperatorClient, query: Query, *, as_json: bool) -> Exit:
    view = _fetch_view(client)
    if isinstance(view, NoAnswer):
        return report_no_answer(view)
    match query:
        case Show(topic, conditions):
            table = make_table(topic, view, conditions)
            if isinstance(table, str):
                print(table, file=sys.stderr)
                return Exit.INVALID_INPUT
            _print_table(table, view, as_json=as_json)
            return Exit.DONE
        case WhySession(request):
            lines = explain_session(view, request)
        case WhyVm(vm):
            lines = explain_vm(view, vm)
        case WhyRefused(request):
            lines = explain_ended_request(request, client.find_ended_request(request))
    print(msgspec.json.encode(lines).decode() if as_json else "\n".join(lines))
    print(view.describe(), file=sys.stderr)
    return Exit.DONE


def _print_table(table: Table, view: View, *, as_json: bool) -> None:
    if as_json:
        rows = [dict(zip(table.columns, row, strict=True)) for row in table.rows]
        print(msgspec.json.encode(rows).decode())
    else:
        print(tabulate(table.rows, headers=table.columns))
    print(view.describe(), file=sys.stderr)


def _apply_edit(client: OperatorClient, edit: Edit, line: str) -> Exit:
    current = client.read_configuration()
    if isinstance(current, NoAnswer):
        return report_no_answer(current)
    edited = edit_configuration(current, edit)
    if isinstance(edited, str):
        print(edited, file=sys.stderr)
        return Exit.INVALID_INPUT
    change = ChangeId(uuid.uuid4().hex)
    return report_change(change, client.propose(ProposalBody(change, line, current.revision, edited)))


__all__ = ["run_prompt", "run_statement"]
