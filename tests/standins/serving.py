"""Serves a stand-in's HTTP application and writes its journal."""

from __future__ import annotations

from pathlib import Path
from typing import IO, Any, cast

import anyio
import msgspec
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette


class Journal:
    """A record of what a stand-in did, as JSON lines."""

    def __init__(self, path: Path | None) -> None:
        self._file: IO[bytes] | None = None if path is None else path.open("ab", buffering=0)

    def write(self, **entry: object) -> None:
        """Write one line unbuffered, so that nothing is lost if the process is killed."""
        if self._file is not None:
            self._file.write(msgspec.json.encode(entry) + b"\n")


def read_journal(path: Path) -> list[dict[str, Any]]:
    """Read the complete lines of a journal."""
    if not path.exists():
        return []
    return [msgspec.json.decode(line) for line in path.read_bytes().splitlines(keepends=True) if line.endswith(b"\n")]


async def serve_app(app: Starlette, port: int) -> None:
    """Serve until the process is stopped."""
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.websocket_max_message_size = 64 << 20
    config.graceful_timeout = 0.1
    await serve(cast("Any", app), config, shutdown_trigger=anyio.Event().wait, mode="asgi")


__all__ = ["Journal", "read_journal", "serve_app"]
