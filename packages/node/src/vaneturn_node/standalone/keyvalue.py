"""HTTP adapter to the platform's key-value service."""

from __future__ import annotations

from typing import Final

import httpx

from vaneturn_core.identifiers import StoreVersion
from vaneturn_core.ports import Conflict, Entry, Unavailable
from vaneturn_core.traffic.completeness import Framing
from vaneturn_node.http1.responses import find_framing
from vaneturn_node.metrics import Metrics

CALL_TIMEOUT_S: Final = 2.0  # a healthy service answers within milliseconds
VERSION_HEADER: Final = "Version"


class HttpKeyValueService:
    """The key-value service behind its HTTP interface."""

    def __init__(self, client: httpx.AsyncClient, base_url: str, metrics: Metrics) -> None:
        self._client = client
        self._metrics = metrics
        self._base_url = base_url.rstrip("/")

    async def read(self, key: str) -> Entry | Unavailable:
        """Read a key."""
        response = await self._call("read", "GET", key)
        if isinstance(response, Unavailable):
            return response
        return _decode_entry(response)

    async def watch(self, key: str, after: StoreVersion, wait: float) -> Entry | Unavailable | None:
        """Wait up to `wait` seconds until the key has another version than the given one; else return None."""
        query = {"after": str(after), "wait": str(wait)}
        response = await self._call("watch", "GET", key, query=query, timeout=wait + CALL_TIMEOUT_S)
        if isinstance(response, Unavailable):
            return response
        if response.status_code == httpx.codes.NOT_MODIFIED:
            return None
        return _decode_entry(response)

    async def write(self, key: str, value: bytes, expected: StoreVersion) -> StoreVersion | Conflict | Unavailable:
        """Write a key if it has the expected version."""
        response = await self._call("write", "PUT", key, query={"expected": str(expected)}, content=value)
        if isinstance(response, Unavailable):
            return response
        version = StoreVersion(int(response.headers[VERSION_HEADER]))
        if response.status_code == httpx.codes.CONFLICT:
            return Conflict(version)
        return version

    async def _call(
        self,
        call: str,
        method: str,
        key: str,
        *,
        query: dict[str, str] | None = None,
        content: bytes | None = None,
        timeout: float = CALL_TIMEOUT_S,  # noqa: ASYNC109 # passed to the client, which limits the call
    ) -> httpx.Response | Unavailable:
        url = f"{self._base_url}/v1/kv/{key}"
        try:
            response = await self._client.request(method, url, params=query, content=content, timeout=timeout)
        except httpx.HTTPError as error:
            self._metrics.store_calls.labels(call, "unavailable").inc()
            return Unavailable(type(error).__name__)
        if response.status_code >= httpx.codes.INTERNAL_SERVER_ERROR or VERSION_HEADER not in response.headers:
            self._metrics.store_calls.labels(call, "unavailable").inc()
            return Unavailable(f"status {response.status_code}")
        if method == "GET" and find_framing(response) is Framing.CLOSE:
            # a part of a value can decode as a value, and an empty one is a key that is absent
            self._metrics.store_calls.labels(call, "unavailable").inc()
            return Unavailable("a value without a length may have been cut")
        self._metrics.store_calls.labels(call, "answered").inc()
        return response


def _decode_entry(response: httpx.Response) -> Entry:
    version = StoreVersion(int(response.headers[VERSION_HEADER]))
    return Entry(response.content if version else b"", version)


__all__ = ["HttpKeyValueService"]
