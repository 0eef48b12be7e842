"""The error of a connection that can no longer be used."""

from __future__ import annotations

import errno
from typing import Final

LOCAL_ERRORS: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL})


class LinkError(Exception):
    """The connection can no longer be used.

    :ivar was_sent: whether a part of the request may have been sent.
    :ivar is_refused: whether the connection was refused, as no process listens at the address.
    :ivar is_reset: whether the connection was reset while it opened, as by a server that takes no more of them.
    :ivar is_local: whether this VM failed to connect for a reason of its own, such as a lack of file descriptors.
    :ivar is_unresponsive: whether nothing arrived within the time limit, as behind a network partition, or this VM
        failed to connect.
    :ivar has_no_path: whether no server of the service accepts connections from this VM.
    :ivar has_no_memory: whether this process had no room for the answer, which says nothing of the peer.
    :ivar is_too_long: whether the answer is longer than any that this process takes.
    """

    def __init__(
        self,
        cause: str,
        *,
        was_sent: bool,
        is_unresponsive: bool = False,
        is_refused: bool = False,
        is_reset: bool = False,
        is_local: bool = False,
        has_no_path: bool = False,
        has_no_memory: bool = False,
        is_too_long: bool = False,
    ) -> None:
        super().__init__(cause)
        self.cause = cause
        self.was_sent = was_sent
        self.is_unresponsive = is_unresponsive
        self.is_refused = is_refused
        self.is_reset = is_reset
        self.is_local = is_local
        self.has_no_path = has_no_path
        self.has_no_memory = has_no_memory
        self.is_too_long = is_too_long


def describe_failed_connection(error: OSError) -> LinkError:
    """Describe why a connection could not be opened."""
    is_refused = isinstance(error, ConnectionRefusedError)
    is_reset = isinstance(error, ConnectionResetError)
    return LinkError(
        f"connecting failed: {error}",
        was_sent=False,
        is_refused=is_refused,
        is_reset=is_reset,
        is_local=error.errno in LOCAL_ERRORS,
        is_unresponsive=not (is_refused or is_reset),
    )


__all__ = ["LinkError", "describe_failed_connection"]
