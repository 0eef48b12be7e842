"""Tables of the configuration and of the states that nodes report."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from vaneturn_cli.client import NoAnswer
from vaneturn_cli.language import Condition, Operator, Topic
from vaneturn_core.configuration.schema import Configuration
from vaneturn_core.identifiers import VmId
from vaneturn_core.operators import NodeState, ServerState

Cell = str | int | float


@dataclass(frozen=True)
class Table:
    """Rows under named columns."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]


@dataclass(frozen=True)
class View:
    """The configuration and the states read from the nodes."""

    configuration: Configuration
    states: tuple[NodeState, ...]
    no_answers: tuple[NoAnswer, ...]
    taken_at: float  # monotonic time before the first read, seconds

    def describe(self) -> str:
        """Describe how old the view is and which nodes did not answer."""
        age = time.monotonic() - self.taken_at
        text = f"revision {self.configuration.revision}, {len(self.states)} nodes answered, view {age:.1f} s old"
        if self.no_answers:
            text += "; no answer: " + ", ".join(f"{answer.node} ({answer.cause})" for answer in self.no_answers)
        return text


def make_table(topic: Topic, view: View, conditions: Sequence[Condition]) -> Table | str:
    """Make the table of a topic, or return an error that names the unknown column."""
    table = _TABLE_MAKERS[topic](view)
    unknown_columns = [condition.column for condition in conditions if condition.column not in table.columns]
    if unknown_columns:
        return f"no column {unknown_columns[0]!r}; the columns are {', '.join(table.columns)}"
    rows = [row for row in table.rows if all(_matches(condition, table.columns, row) for condition in conditions)]
    return Table(table.columns, tuple(rows))


def _matches(condition: Condition, columns: Sequence[str], row: Sequence[Cell]) -> bool:
    cell = row[columns.index(condition.column)]
    if condition.operator is Operator.CONTAINS:
        return condition.value in str(cell)
    if condition.operator is Operator.EQUAL:
        return str(cell) == condition.value
    if condition.operator is Operator.UNEQUAL:
        return str(cell) != condition.value
    try:
        difference = float(cell) - float(condition.value)
    except ValueError:
        return False
    return difference < 0 if condition.operator is Operator.LESS else difference > 0


def _tabulate_pipelines(view: View) -> Table:
    bounds: defaultdict[str, float] = defaultdict(float)
    for state in view.states:
        for name, bound in state.bounds.items():
            bounds[name] = max(bounds[name], bound)
    rows = tuple(
        (
            pipeline.name,
            pipeline.model,
            pipeline.version,
            pipeline.adapter or "",
            pipeline.preference.value,
            pipeline.layers,
            len(pipeline.stages),
            round(bounds[pipeline.name]),
            sum(session.pipeline == pipeline.name for state in view.states for session in state.sessions),
        )
        for pipeline in view.configuration.pipelines
    )
    columns = ("name", "model", "version", "adapter", "preference", "layers", "stages", "bound", "sessions")
    return Table(columns, rows)


def group_servers(view: View) -> dict[VmId, list[ServerState]]:
    """Group the states that nodes report of each server."""
    grouped: defaultdict[VmId, list[ServerState]] = defaultdict(list)
    for state in view.states:
        for server in state.servers:
            grouped[server.vm].append(server)
    return grouped


def describe_work(view: View, vm: VmId) -> str:
    """List the layers of pipelines and the services that a VM is declared for."""
    stages = [
        f"{pipeline.name}[{stage.first},{stage.end})"
        for pipeline in view.configuration.pipelines
        for stage in pipeline.stages
        if stage.vm == vm
    ]
    return " ".join([*stages, *(service.name for service in view.configuration.services if vm in service.servers)])


def describe_standing(reported_states: Iterable[ServerState]) -> str:
    """Summarize the states that nodes report of a server."""
    states = list(reported_states)
    leaving = sorted({source for server in states for source in server.leaving})
    if leaving:
        return "leaving: " + ", ".join(leaving)
    if states and not any(server.connected for server in states):
        return "down"
    if any(server.ejected for server in states):
        return "ejected by some"
    return "in use"


def describe_parts(reported_states: Iterable[ServerState]) -> str:
    """List the parts held by an engine that takes orders, as reported by the first node that knows them."""
    for server in reported_states:
        parts = [*server.held, *(f"loading {part}" for part in server.loading)]
        parts += [f"ending {part}" for part in server.ending]
        if parts:
            return ", ".join(parts)
    return ""


def _tabulate_vms(view: View) -> Table:
    states_by_vm = group_servers(view)
    rows = tuple(
        (
            server.vm,
            server.data_hall,
            server.accelerator,
            describe_work(view, server.vm),
            describe_parts(states_by_vm.get(server.vm, ())),
            describe_standing(states_by_vm.get(server.vm, ())),
            sum(state.in_progress for state in states_by_vm.get(server.vm, ())),
            round(max((state.latency for state in states_by_vm.get(server.vm, ())), default=0.0) * 1e3, 1),
        )
        for server in view.configuration.servers
    )
    return Table(("vm", "hall", "accelerator", "work", "holds", "standing", "steps", "latency_ms"), rows)


def _tabulate_sessions(view: View) -> Table:
    rows = tuple(
        (
            session.request,
            session.customer,
            session.pipeline,
            state.vm,
            session.recoveries,
            session.routes[-1] if session.routes else "",
        )
        for state in view.states
        for session in state.sessions
    )
    return Table(("session", "customer", "pipeline", "node", "recoveries", "route"), rows)


def _tabulate_customers(view: View) -> Table:
    rows = tuple(
        (
            customer.name,
            customer.work_class,
            customer.max_in_progress,
            sum(session.customer == customer.name for state in view.states for session in state.sessions),
        )
        for customer in view.configuration.customers
    )
    return Table(("name", "class", "max_in_progress", "sessions"), rows)


def _tabulate_changes(view: View) -> Table:
    rows = tuple(
        (
            change.revision,
            change.id,
            change.operator,
            time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change.time)),
            change.summary,
        )
        for change in reversed(view.configuration.changes)
    )
    return Table(("revision", "id", "operator", "utc", "summary"), rows)


def _tabulate_nodes(view: View) -> Table:
    rows = tuple(
        (
            state.vm,
            state.node,
            state.data_hall,
            state.revision,
            "stopping" if state.stopping else "serving",
            state.fence,
        )
        for state in view.states
    )
    return Table(("vm", "node", "hall", "revision", "state", "fence"), rows)


_TABLE_MAKERS: Final[dict[Topic, Callable[[View], Table]]] = {
    Topic.PIPELINES: _tabulate_pipelines,
    Topic.VMS: _tabulate_vms,
    Topic.SESSIONS: _tabulate_sessions,
    Topic.CUSTOMERS: _tabulate_customers,
    Topic.CHANGES: _tabulate_changes,
    Topic.NODES: _tabulate_nodes,
}

__all__ = ["Table", "View", "describe_parts", "describe_standing", "describe_work", "group_servers", "make_table"]
