from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from rig.installation import Installation


@pytest.fixture
def installation(tmp_path: Path) -> Iterator[Installation]:
    """An installation without any process yet."""
    with Installation(tmp_path) as made:
        yield made


@pytest.fixture
def small(installation: Installation) -> Installation:
    """Three stages with two servers each, one node, a plain service."""
    installation.start_platform()
    for first, end in ((0, 4), (4, 8), (8, 12)):
        for letter in "ab":
            installation.start_engine(f"runner-{first}{letter}", first, end)
    installation.start_plain("desk-a", "brokerdesk")
    installation.start_node("entry-1")
    installation.apply_everywhere()
    return installation
