"""Errors in rejected documents, all reported in the same format."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

import msgspec

_PATH_SUFFIX: Final = re.compile(r" - at `(?P<path>[^`]*)`$")


@dataclass(frozen=True)
class Fault:
    """A place in a document and what was expected there."""

    path: str  # for example $.customers[2].name
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: {self.expected}"


def describe_decode_error(error: msgspec.DecodeError) -> Fault:
    """Split the decoder's message into the path and the expectation."""
    text = str(error)
    match = _PATH_SUFFIX.search(text)
    if match is None:
        return Fault("$", text)
    return Fault(match["path"], text[: match.start()])


__all__ = ["Fault", "describe_decode_error"]
