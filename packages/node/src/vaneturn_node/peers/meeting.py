"""Discovery of peers through a short list of peer addresses in the key-value service."""

from __future__ import annotations

import logging
from typing import Final

import anyio
import msgspec

from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.membership.member import Member
from vaneturn_core.membership.table import MemberTable
from vaneturn_core.ports import Entry, KeyValueService, Unavailable
from vaneturn_node.peers.gossip import Gossip
from vaneturn_node.peers.messages import Introduce, Introduction
from vaneturn_node.peers.requests import PeerClient

MEETING_KEY: Final = "vaneturn/meeting"
MAX_ADDRESSES: Final = 16
RETRY_INTERVAL_S: Final = 1.0
MAX_TRIES: Final = 30
INTRODUCE_TIMEOUT_S: Final = 0.5

logger = logging.getLogger(__name__)


async def discover_peers(store: KeyValueService, gossip: Gossip) -> None:
    """Read the addresses through which to join, and add this node's own for nodes that start later."""
    own = gossip.table.own.address
    for _ in range(MAX_TRIES):
        entry = await store.read(MEETING_KEY)
        if isinstance(entry, Entry):
            addresses = _decode_addresses(entry.value)
            gossip.add_seeds(address for address in addresses if address != own)
            kept = [address for address in addresses if address != own][-(MAX_ADDRESSES - 1) :]
            written = await store.write(MEETING_KEY, msgspec.json.encode([*kept, own]), entry.version)
            if isinstance(written, int):
                return
        elif isinstance(entry, Unavailable):
            logger.info("list of peer addresses not available", extra={"cause": entry.cause})
        await anyio.sleep(RETRY_INTERVAL_S)


def _decode_addresses(value: bytes) -> list[str]:
    """Decode the list; a malformed one is replaced by that of this node."""
    try:
        return decode_json(value, list[str]) if value else []
    except MalformedError as error:
        logger.warning("list of peer addresses not understood", extra={"fault": str(error)})
        return []


class Introducer:
    """Introduces this node to another one and learns its identity."""

    def __init__(self, client: PeerClient, table: MemberTable) -> None:
        self._client = client
        self._table = table

    async def __call__(self, address: str) -> Member | None:
        """Ask which node has a peer address; return None without an answer."""
        answer = await self._client.ask(address, Introduce(self._table.own), INTRODUCE_TIMEOUT_S)
        return answer.member if isinstance(answer, Introduction) else None


__all__ = ["Introducer", "discover_peers"]
