from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from rig.traffic import Traffic, open_traffic


@pytest.fixture
async def traffic(tmp_path: Path, anyio_backend: str) -> AsyncIterator[Traffic]:
    """One node without servers; the test adds them."""
    assert anyio_backend == "asyncio"
    async with open_traffic(tmp_path) as made:
        yield made
