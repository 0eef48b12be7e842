"""Lists the requests that nodes of the users' platform block because they crash servers, and lifts blocks."""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING, Final

import httpx
import msgspec
from tabulate import tabulate

from vaneturn_cli.client import NoAnswer
from vaneturn_cli.exits import Exit
from vaneturn_cli.reporting import report_no_answer
from vaneturn_cli.traffic import TIMEOUT_S, read_state
from vaneturn_core.traffic.state import SeenBlock, TrafficState

if TYPE_CHECKING:
    from argparse import _SubParsersAction

BLOCK_COLUMNS: Final = (
    "id", "kind", "only with", "servers that crashed", "software", "newest crash s", "tried again in s", "confirmed",
    "contested", "nodes",
)  # fmt: skip


def add_blocks(subparsers: _SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the commands."""
    subparsers.add_parser(
        "blocks", help="list the requests that are blocked because they crash servers; --nodes takes metrics addresses"
    ).set_defaults(command=show_blocks)
    unblock_parser = subparsers.add_parser("unblock", help="let requests with a blocked part or content run again")
    unblock_parser.add_argument("id", help="as listed by 'blocks'")
    unblock_parser.set_defaults(command=unblock)


def show_blocks(options: argparse.Namespace) -> Exit:
    """List what any of the nodes blocks."""
    answers = [read_state(node) for node in options.nodes.split(",") if node]
    states = [answer for answer in answers if isinstance(answer, TrafficState)]
    blocks: dict[str, SeenBlock] = {}
    nodes: dict[str, list[str]] = {}
    for state in states:
        for block in state.blocks:
            blocks[block.id] = max(block, blocks.get(block.id, block), key=lambda one: len(one.servers))
            nodes.setdefault(block.id, []).append(state.vm)
    if options.json:
        print(msgspec.json.encode(list(blocks.values())).decode())
    else:
        print(tabulate([_list_cells(block, nodes[block.id]) for block in blocks.values()], headers=BLOCK_COLUMNS))
    for answer in answers:
        if isinstance(answer, NoAnswer):
            report_no_answer(answer)
    return Exit.DONE if states else Exit.NO_ANSWER


def unblock(options: argparse.Namespace) -> Exit:
    """Lift a block at the first node that answers, which informs the others."""
    for node in [node for node in options.nodes.split(",") if node]:
        try:
            response = httpx.delete(f"http://{node}/blocks/{options.id}", timeout=TIMEOUT_S)
        except httpx.HTTPError as error:
            report_no_answer(NoAnswer(node, type(error).__name__))
            continue
        if response.is_success:
            return Exit.DONE
        print(f"{options.id}: no crash counts against it", file=sys.stderr)
        return Exit.DIFFERENT_OR_UNKNOWN
    return Exit.NO_ANSWER


def _list_cells(block: SeenBlock, nodes: list[str]) -> tuple[str | float | bool, ...]:
    return (
        block.id, block.kind, " ".join(block.companions), " ".join(block.servers), " ".join(block.software),
        block.age, block.remaining, block.is_confirmed, block.is_contested, " ".join(nodes),
    )  # fmt: skip


__all__ = ["add_blocks"]
