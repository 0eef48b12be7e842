"""The node that forwarded a request to this one."""

from __future__ import annotations

from dataclasses import dataclass

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.servers import ServerId


@dataclass(frozen=True, slots=True)
class FirstNode:
    """The node that forwarded a request to this one, and what it had done with the request before."""

    vm: VmId
    sends: int
    runs: int  # servers that count as attempts
    may_have_run: bool
    is_resumed: bool  # the client has received a part of the answer
    must_run_once: bool = False  # by the configuration of that node
    has_retry: bool = False  # of its budget, for the next send
    avoided: frozenset[ServerId] = frozenset()  # servers that have lost or refused it
    attempted: frozenset[ServerId] = frozenset()  # servers that count as attempts, as far as that node knows them
    reads_servers: bool = False  # in the marks of the answer; an older build would pass them on to clients
    exhausted: frozenset[ServerId] = frozenset()  # servers without an event after the last one that the client has


__all__ = ["FirstNode"]
