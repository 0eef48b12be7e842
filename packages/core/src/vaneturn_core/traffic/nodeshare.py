"""The share of a common limit that this node may use, from the list of nodes as it was over some time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection
from typing import Final, NamedTuple

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.ratelimits import SETTLE_TIME_S

STARTING_SHARE: Final = 0.15  # of a share, for a node that has not been listed for long enough


class _ListState(NamedTuple):
    since: float  # monotonic time
    nodes: int
    is_listed: bool  # whether this node was in the list


class NodeShare:
    """Divides a limit per window by the most nodes that were listed in the window and shortly before.

    All nodes that use a share in a window were in the list when it began, as each was listed for a whole window before.
    Each of them counts all the others, so their shares add up to one at most, whichever nodes start, stop, or leave and
    enter the list meanwhile. A new process does not know what the previous one of its VM has used, and has a small part
    of a share for that time; the users of this class leave room for such parts.
    """

    def __init__(self, vm: VmId, window: float, clock: Callable[[], float]) -> None:
        """Begin without any list.

        :param window: of the limit, in seconds.
        """
        self._vm = vm
        self._span = window + SETTLE_TIME_S
        self._clock = clock
        self._states: deque[_ListState] = deque([_ListState(clock(), 0, is_listed=False)])

    def note(self, nodes: Collection[VmId]) -> None:
        """Record the nodes that are listed now."""
        state = _ListState(self._clock(), len(nodes), self._vm in nodes)
        if state[1:] != self._states[-1][1:]:
            self._states.append(state)
        self._forget()

    def compute(self, age: float) -> float:
        """Compute the share, from 0 to 1.

        :param age: seconds since the list was confirmed; another node may have joined meanwhile.
        """
        self._forget()
        if age > SETTLE_TIME_S or not self._states[-1].is_listed:
            return 0.0
        is_settled = all(state.is_listed for state in self._states)
        return (1.0 if is_settled else STARTING_SHARE) / self.count_nodes()

    def count_nodes(self) -> int:
        """Count the most nodes that were listed at one time, this one included."""
        return max(1, *(state.nodes for state in self._states))

    def _forget(self) -> None:
        oldest = self._clock() - self._span
        while len(self._states) > 1 and self._states[1].since <= oldest:
            self._states.popleft()


__all__ = ["SETTLE_TIME_S", "STARTING_SHARE", "NodeShare"]
