"""Stand-in for a VM: runs a module, binds its connections to an own address, and cuts its paths to servers.

The own address identifies the caller to servers. A file tells which ports are cut, or which ones are not, and how; it
is read again when it changes.
"""

from __future__ import annotations

import asyncio
import json
import runpy
import sys
import weakref
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any

POLL_INTERVAL_S = 0.01  # between checks whether the file has changed


class CutKind(Enum):
    """What connections see of a cut."""

    SILENT = "silent"  # open and new connections hang
    RESET = "reset"  # open connections are reset, new ones hang
    REFUSED = "refused"  # open connections are reset, new ones are refused
    NEW_ONLY = "new only"  # open connections work, new ones are refused


class Paths:
    """The paths of one VM, which its connections use."""

    def __init__(self, file: Path) -> None:
        self._file = file
        self._text = ""
        self._kind: CutKind | None = None
        self._ports: frozenset[int] = frozenset()
        self._is_spared = False  # whether these ports are the ones that are not cut
        self._open: weakref.WeakKeyDictionary[asyncio.Transport, int] = weakref.WeakKeyDictionary()
        self._healed = asyncio.Event()
        self._is_watched = False

    async def pass_connect(self, port: int) -> None:
        """Let a connection be opened, hold it while the path is cut, or refuse it."""
        if not self._is_watched:
            self._is_watched = True
            self._watch()
        while self._is_cut(port):
            if self._kind in {CutKind.REFUSED, CutKind.NEW_ONLY}:
                raise ConnectionRefusedError
            await self._healed.wait()

    def _is_cut(self, port: int) -> bool:
        return self._kind is not None and (port in self._ports) is not self._is_spared

    def add(self, transport: asyncio.Transport, port: int) -> None:
        """Add an open connection; its path may have been cut while it was being opened."""
        self._open[transport] = port
        if self._is_cut(port):
            self._apply(transport, is_cut=True)

    def _watch(self) -> None:
        try:
            self._read()
        finally:
            asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._watch)

    def _read(self) -> None:
        text = self._file.read_text() if self._file.exists() else ""
        if text == self._text:
            return
        self._text = text
        cut: dict[str, Any] = json.loads(text) if text else {}
        self._kind = CutKind(cut["kind"]) if cut else None
        self._is_spared = "spared" in cut
        self._ports = frozenset(cut.get("spared", cut.get("ports", [])))
        self._healed.set()
        self._healed = asyncio.Event()
        for transport, port in list(self._open.items()):
            self._apply(transport, is_cut=self._is_cut(port))

    def _apply(self, transport: asyncio.Transport, *, is_cut: bool) -> None:
        if transport.is_closing():
            return
        if is_cut and self._kind in {CutKind.RESET, CutKind.REFUSED}:
            protocol: Any = transport.get_protocol()
            transport.abort()
            protocol.connection_lost(ConnectionResetError())
        elif is_cut and self._kind is CutKind.SILENT:
            transport.pause_reading()
        elif not transport.is_reading():
            transport.resume_reading()


def bind_connections(address: str, paths: Paths) -> None:
    """Make the connections of this process come from an address and use the given paths."""
    connect = asyncio.BaseEventLoop.create_connection

    async def create_connection(
        loop: asyncio.BaseEventLoop, factory: Callable[[], Any], host: str, port: int, **options: Any
    ) -> tuple[asyncio.Transport, Any]:
        await paths.pass_connect(port)
        transport, protocol = await connect(loop, factory, host, port, local_addr=(address, 0), **options)
        paths.add(transport, port)
        return transport, protocol

    asyncio.BaseEventLoop.create_connection = create_connection  # type: ignore[assignment, method-assign]


def main() -> None:
    address, file, module, *arguments = sys.argv[1:]
    bind_connections(address, Paths(Path(file)))
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
