"""Makes parsers of requests, also in place of one that has begun to read."""

from __future__ import annotations

import h11


def make_parser(max_incomplete_bytes: int) -> h11.Connection:
    """Make a parser of requests.

    :param max_incomplete_bytes: of a head, or the head of a chunk, that is not whole.
    """
    return h11.Connection(our_role=h11.SERVER, max_incomplete_event_size=max_incomplete_bytes)


def replace_parser(parser: h11.Connection, max_incomplete_bytes: int) -> h11.Connection:
    """Make a parser that continues at the next request, of which the given one has read no event."""
    received, has_ended = parser.trailing_data
    replaced = make_parser(max_incomplete_bytes)
    if received:
        replaced.receive_data(received)
    if has_ended:
        replaced.receive_data(b"")
    return replaced


def make_body_parser(head: h11.Request, max_incomplete_bytes: int) -> h11.Connection:
    """Make a parser that has read a head, and waits for the body in chunks.

    It does not know that the client may wait to be asked for the body, as that is over when a chunk has arrived.
    """
    parser = make_parser(max_incomplete_bytes)
    lines = [b"%b %b HTTP/%b" % (head.method, head.target, head.http_version)]
    lines += [b"%b: %b" % (name, value) for name, value in head.headers if name != b"expect"]
    parser.receive_data(b"\r\n".join([*lines, b"", b""]))
    parser.next_event()
    return parser


__all__ = ["make_body_parser", "make_parser", "replace_parser"]
