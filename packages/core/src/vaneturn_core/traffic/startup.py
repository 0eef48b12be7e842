"""How long the requests of a node's first moments wait for its first configuration.

Load pattern: all nodes lose power and come back together, and clients come at once. Each node reads the store over
its own link: 0.05 s over 200 Mbit/s, over a second for the longest value over 10 Mbit/s. Who is turned away meanwhile
finds the next node in the same state; who waits is served within the time it bears. So the wait goes by what the
client bears, and not by a guess of how long a reading takes: a reading ends by itself when nothing arrives. One that
has failed promises nothing, so that nobody waits for another one.
"""

from __future__ import annotations

from typing import Final

CLIENT_PATIENCE: Final = 2.0  # seconds without an event after which clients give a stream up, the first one included
FIRST_EVENT_TIME: Final = 0.5  # seconds of that for the request itself
WAIT_SHARE: Final = 0.5  # of the time that a client waits; the rest is for the request itself


def compute_first_wait(deadline: float | None, waited: float, *, is_read: bool) -> float:
    """Compute how long a request may wait for the first configuration, seconds.

    :param deadline: seconds that the client waits in all; none when it does not say.
    :param waited: seconds that the request has waited.
    :param is_read: whether the first reading has ended, well or not.
    """
    if is_read:
        return 0.0
    borne = CLIENT_PATIENCE - FIRST_EVENT_TIME
    if deadline is not None:
        borne = min(borne, WAIT_SHARE * deadline)
    return max(0.0, borne - waited)


__all__ = ["CLIENT_PATIENCE", "FIRST_EVENT_TIME", "WAIT_SHARE", "compute_first_wait"]
