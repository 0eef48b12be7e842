"""HTTP adapter to the platform's list of VMs."""

from __future__ import annotations

from enum import Enum

import httpx
from msgspec import Struct

from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.identifiers import VmId
from vaneturn_core.ports import Unavailable


class VmState(Enum):
    """State of a VM as the platform lists it."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(Struct, frozen=True):
    """One entry of the list."""

    vm: VmId
    state: VmState


class HttpVmList:
    """The list of VMs behind its HTTP interface."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        self._client = client
        self._url = url

    async def list_leaving(self) -> frozenset[VmId] | Unavailable:
        """List the VMs that are leaving."""
        try:
            response = await self._client.get(self._url, timeout=2.0)
            response.raise_for_status()
            listed = decode_json(response.content, list[ListedVm])
        except (httpx.HTTPError, MalformedError) as error:
            return Unavailable(type(error).__name__)
        return frozenset(entry.vm for entry in listed if entry.state is VmState.LEAVING)


__all__ = ["HttpVmList", "ListedVm", "VmState"]
