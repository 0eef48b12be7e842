"""Choice of the version that a new answer gets while a version is rolled out."""

from __future__ import annotations

from collections.abc import Mapping

from vaneturn_core.routing.choice import hash_to_unit


def choose_version(affinity: str, newest: str, bounds: Mapping[str, float]) -> str:
    """Choose in proportion to what each version can carry.

    An affinity that gets the newest version keeps it while its share grows, so no session goes back and forth.

    :param bounds: tokens a second of each version, the newest among them.
    """
    total = sum(bounds.values())
    if total <= 0:
        return newest
    if hash_to_unit(f"version {affinity}") * total < bounds[newest]:
        return newest
    return max((version for version in bounds if version != newest), key=lambda version: bounds[version])


__all__ = ["choose_version"]
