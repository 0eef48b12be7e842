"""The vaneturn command: its arguments, and what each subcommand prints and returns."""

from __future__ import annotations

import argparse
import contextlib
import itertools
import os
import sys
import uuid
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final

import msgspec

from vaneturn_cli.blocks import add_blocks
from vaneturn_cli.client import NoAnswer, OperatorClient
from vaneturn_cli.declarations import load_declarations
from vaneturn_cli.difference import compare_configurations
from vaneturn_cli.exits import Exit
from vaneturn_cli.losses import Limits, format_losses, read_lines
from vaneturn_cli.lossplot import plot_losses
from vaneturn_cli.querying import run_prompt, run_statement
from vaneturn_cli.reporting import report_change, report_no_answer
from vaneturn_cli.traffic import NotFound, find_request, format_request, format_states, read_state
from vaneturn_core.configuration.document import describe_schema
from vaneturn_core.configuration.schema import Configuration
from vaneturn_core.identifiers import ChangeId
from vaneturn_core.operators import ProposalBody
from vaneturn_core.traffic.state import TrafficRequest, TrafficState

NODES_VARIABLE: Final = "VANETURN_NODES"  # HTTP addresses, separated by commas
KEY_VARIABLE: Final = "VANETURN_OPERATOR_KEY"

Command = Callable[[argparse.Namespace], Exit]


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command."""
    options = _make_parser().parse_args(arguments)
    command: Command = options.command
    return command(options)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="vaneturn", description="Query and control the nodes of a vaneturn router.")
    parser.add_argument(
        "--nodes", default=os.environ.get(NODES_VARIABLE, ""), help="addresses of nodes, separated by commas"
    )
    parser.add_argument("--authority", type=Path, help="PEM file of the certificate authority of the nodes")
    parser.add_argument("--json", action="store_true", help="print JSON")
    subparsers = parser.add_subparsers(required=True, metavar="VERB")
    _add_files(subparsers.add_parser("check", help="check declarations"), check)
    _add_files(subparsers.add_parser("diff", help="compare declarations with the configuration in force"), diff)
    apply_parser = subparsers.add_parser("apply", help="put declarations in force")
    _add_files(apply_parser, apply)
    apply_parser.add_argument(
        "--change", default="", help="id of the change; a change with the same id is never applied twice"
    )
    apply_parser.add_argument("--summary", default="", help="one-line description for the audit log")
    change_parser = subparsers.add_parser("change", help="show whether a change took effect")
    change_parser.add_argument("id")
    change_parser.set_defaults(command=show_change)
    query_parser = subparsers.add_parser("query", help="run one line of the query and command language")
    query_parser.add_argument("line")
    query_parser.set_defaults(command=query)
    subparsers.add_parser(
        "traffic", help="show the nodes and servers of the users' platform; --nodes takes metrics addresses"
    ).set_defaults(command=show_traffic)
    explain_parser = subparsers.add_parser("explain", help="show how a request on the users' platform was handled")
    explain_parser.add_argument("request")
    explain_parser.set_defaults(command=explain)
    add_blocks(subparsers)
    _add_losses(
        subparsers.add_parser("losses", help="show from log lines which requests were late or not served, and why")
    )
    subparsers.add_parser("prompt", help="run lines from standard input").set_defaults(command=prompt)
    subparsers.add_parser("schema", help="print the JSON Schema of declarations").set_defaults(command=show_schema)
    return parser


def _add_files(parser: argparse.ArgumentParser, command: Command) -> None:
    parser.add_argument("files", nargs="+", type=Path, metavar="FILE")
    parser.set_defaults(command=command)


def _add_losses(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "files", nargs="*", type=Path, metavar="FILE", help="log files of nodes; default: standard input"
    )
    parser.add_argument("--first-event", type=float, default=0.5, help="seconds within which a stream should begin")
    parser.add_argument("--pause", type=float, default=0.2, help="longest pause in seconds that a stream may make")
    parser.add_argument("--most", type=int, default=30, help="rows")
    parser.add_argument(
        "--plot", action="store_true", help="plot losses by second and by server; needs the extra 'plot'"
    )
    parser.set_defaults(command=show_losses)


def _make_client(options: argparse.Namespace) -> OperatorClient:
    nodes = [node for node in options.nodes.split(",") if node]
    return OperatorClient(nodes, os.environ.get(KEY_VARIABLE, ""), options.authority)


def _load_or_report(options: argparse.Namespace) -> Configuration | None:
    declared = load_declarations(options.files)
    if isinstance(declared, Configuration):
        return declared
    for fault in declared:
        print(fault, file=sys.stderr)
    return None


def check(options: argparse.Namespace) -> Exit:
    """Check declarations without contacting a node."""
    return Exit.INVALID_INPUT if _load_or_report(options) is None else Exit.DONE


def diff(options: argparse.Namespace) -> Exit:
    """Compare declarations with the configuration in force."""
    declared = _load_or_report(options)
    if declared is None:
        return Exit.INVALID_INPUT
    current = _make_client(options).read_configuration()
    if isinstance(current, NoAnswer):
        return report_no_answer(current)
    differences = compare_configurations(current, declared)
    for difference in differences:
        print(difference)
    return Exit.DIFFERENT_OR_UNKNOWN if differences else Exit.DONE


def apply(options: argparse.Namespace) -> Exit:
    """Put declarations in force; draining VMs stay draining unless the declarations list draining VMs themselves."""
    declared = _load_or_report(options)
    if declared is None:
        return Exit.INVALID_INPUT
    client = _make_client(options)
    current = client.read_configuration()
    if isinstance(current, NoAnswer):
        return report_no_answer(current)
    declared = msgspec.structs.replace(declared, draining=declared.draining or current.draining)
    change = ChangeId(options.change or uuid.uuid4().hex)
    return report_change(change, client.propose(ProposalBody(change, options.summary, current.revision, declared)))


def show_change(options: argparse.Namespace) -> Exit:
    """Show whether a change took effect."""
    change = ChangeId(options.id)
    return report_change(change, _make_client(options).find_change(change))


def query(options: argparse.Namespace) -> Exit:
    """Run one line of the query and command language."""
    return run_statement(_make_client(options), options.line, as_json=options.json)


def prompt(options: argparse.Namespace) -> Exit:
    """Run lines from standard input."""
    return run_prompt(_make_client(options), as_json=options.json)


def show_traffic(options: argparse.Namespace) -> Exit:
    """Show the traffic of nodes on the users' platform, and report the nodes that do not answer."""
    answers = [read_state(node) for node in options.nodes.split(",") if node]
    states = [answer for answer in answers if isinstance(answer, TrafficState)]
    print(msgspec.json.encode(states).decode() if options.json else format_states(states))
    for answer in answers:
        if isinstance(answer, NoAnswer):
            report_no_answer(answer)
    return Exit.DONE if states else Exit.NO_ANSWER


def explain(options: argparse.Namespace) -> Exit:
    """Ask the nodes for a request until one knows it, and show how it was handled."""
    answers = [find_request(node, options.request) for node in options.nodes.split(",") if node]
    for answer in answers:
        if isinstance(answer, TrafficRequest):
            print(msgspec.json.encode(answer).decode() if options.json else format_request(answer))
            return Exit.DONE
        if isinstance(answer, NoAnswer):
            report_no_answer(answer)
    if any(isinstance(answer, NotFound) for answer in answers):
        print(f"request {options.request}: not among the newest requests of these nodes", file=sys.stderr)
        return Exit.DIFFERENT_OR_UNKNOWN
    return Exit.NO_ANSWER


def show_losses(options: argparse.Namespace) -> Exit:
    """Show from log lines which requests were late or not served, and why."""
    try:
        with contextlib.ExitStack() as files:
            opened = [files.enter_context(path.open(errors="replace")) for path in options.files]
            lines = itertools.chain.from_iterable(opened) if opened else sys.stdin
            table = read_lines(lines, Limits(options.first_event, options.pause))
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return Exit.INVALID_INPUT
    print(msgspec.json.encode(table.list_rows()).decode() if options.json else format_losses(table, options.most))
    if options.plot and not options.json:
        try:
            print(f"\n{plot_losses(table)}")
        except ImportError:
            print("plotext is not installed: pip install 'vaneturn-cli[plot]'", file=sys.stderr)
            return Exit.INVALID_INPUT
    if table.invalid_lines:
        print(f"{table.invalid_lines} lines could not be parsed", file=sys.stderr)
    return Exit.DONE


def show_schema(_options: argparse.Namespace) -> Exit:
    """Print the JSON Schema of declarations."""
    print(msgspec.json.format(msgspec.json.encode(describe_schema())).decode())
    return Exit.DONE


__all__ = ["main"]
