"""Choice of the model version for a new answer during a rollout."""

from __future__ import annotations

from collections.abc import Mapping

from vaneturn_core.routing.choice import hash_to_unit


def choose_version(affinity: str, newest: str, bounds: Mapping[str, float]) -> str:
    """Choose the newest version with a probability equal to its share of the total throughput.

    An affinity that gets the newest version keeps it while that version's share grows, so that no session switches
    back and forth.

    :param bounds: throughput bound of each version, including the newest, in tokens per second.
    """
    total = sum(bounds.values())
    if total <= 0:
        return newest
    if hash_to_unit(f"version {affinity}") * total < bounds[newest]:
        return newest
    return max((version for version in bounds if version != newest), key=lambda version: bounds[version])


__all__ = ["choose_version"]
