"""A client connection that fails during a write does not affect the rest of the process."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from vaneturn_core.traffic.configuration import ClientLimits
from vaneturn_node.http1.server import ClientAnswer, ClientConnection, ClientRequest

pytestmark = pytest.mark.anyio


class BrokenStream(SocketStream):
    """Delivers one request; every write fails, and reads wait without an error."""

    def __init__(self) -> None:
        self._left = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"

    async def receive(self, max_bytes: int = 65536) -> bytes:
        data, self._left = self._left[:max_bytes], b""
        if not data:
            await anyio.sleep_forever()
        return data

    async def send(self, item: bytes) -> None:
        raise anyio.BrokenResourceError(str(len(item)))

    async def send_eof(self) -> None:
        """Do nothing."""

    async def aclose(self) -> None:
        """Do nothing."""

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        return {}

    @property
    def _raw_socket(self) -> Any:
        return None


@pytest.mark.parametrize("is_streamed", [True, False])
async def test_write_that_fails_ends_the_connection_alone(*, is_streamed: bool) -> None:
    """An exception group from the failed write must not end the process."""

    async def handle(_: ClientRequest, answer: ClientAnswer) -> None:
        if is_streamed:
            await answer.begin(200, [])
            await answer.send_part(b"part")
        await answer.send_whole(200, [], b"whole")

    with anyio.fail_after(2):
        await ClientConnection(BrokenStream(), handle, ClientLimits(), set(), lambda: False).run()
