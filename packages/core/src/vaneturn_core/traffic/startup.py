"""How long requests wait for the first configuration of a node that has just started.

When all nodes restart together after a power failure, clients connect immediately. Each node reads the store over its
own link: this takes 0.05 s at 200 Mbit/s, and over a second for the longest value at 10 Mbit/s. A client that is
refused meanwhile finds the other nodes in the same state; one that waits is served in time. So the wait depends on how
long the client waits, not on an estimate of the reading time, since a reading ends by itself when no data arrives.
After a failed reading nothing suggests that the next one succeeds, so requests do not wait for it.
"""

from __future__ import annotations

from typing import Final

CLIENT_PATIENCE_S: Final = 2.0  # without an event, the first one included; then clients abandon a stream
FIRST_EVENT_TIME_S: Final = 0.5  # part of CLIENT_PATIENCE_S that is reserved for the request itself
WAIT_SHARE: Final = 0.5  # of the client's deadline; the rest is for the request itself


def compute_first_wait(deadline: float | None, waited: float, *, is_read: bool) -> float:
    """Compute how many more seconds a request may wait for the first configuration.

    :param deadline: seconds that the client waits in total; none when it does not say.
    :param waited: seconds that the request has already waited.
    :param is_read: whether the first reading has ended, successfully or not.
    """
    if is_read:
        return 0.0
    max_wait = CLIENT_PATIENCE_S - FIRST_EVENT_TIME_S
    if deadline is not None:
        max_wait = min(max_wait, WAIT_SHARE * deadline)
    return max(0.0, max_wait - waited)


__all__ = ["CLIENT_PATIENCE_S", "FIRST_EVENT_TIME_S", "WAIT_SHARE", "compute_first_wait"]
