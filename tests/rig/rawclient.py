"""A client that speaks HTTP/1.0, for which an answer without a length ends with its connection."""

from __future__ import annotations

import asyncio

import httpx


async def read_to_end(request: httpx.Request) -> bytes:
    """Send a request as HTTP/1.0; return all bytes of the answer once the connection has been closed.

    :raises ConnectionResetError: the connection was reset, so that the answer is not complete.
    """
    reader, writer = await asyncio.open_connection(request.url.host, request.url.port)
    lines = [f"{request.method} {request.url.raw_path.decode()} HTTP/1.0"]
    lines += [f"{name}: {value}" for name, value in request.headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + request.content)
    try:
        return await reader.read()
    finally:
        writer.close()


__all__ = ["read_to_end"]
