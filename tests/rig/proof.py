"""A mechanism that guards a promise, and the test that must fail without it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Edit:
    """A piece of a file and what stands there without the mechanism."""

    file: str
    old: str
    new: str


@dataclass(frozen=True)
class Proof:
    """A mechanism and the test that must fail without it."""

    name: str
    test: str
    edits: tuple[Edit, ...]
