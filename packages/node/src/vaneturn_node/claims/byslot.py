"""Claims decided by the owners of slots, without a call to the key-value service for each request."""

from __future__ import annotations

import logging
import random
import uuid
from typing import Final

import anyio

from vaneturn_core.claims.ledger import Verdict, read_key_time
from vaneturn_core.claims.slots import SlotOwner
from vaneturn_core.identifiers import CustomerName, NodeId, RepeatKey
from vaneturn_core.outcomes import NotRun, Reason, Unknown
from vaneturn_node.claims.ownership import SlotOwnership
from vaneturn_node.claims.ports import Claim
from vaneturn_node.peers.messages import ClaimAnswer, ClaimRequest, ReleaseRequest
from vaneturn_node.peers.requests import PeerClient

ASK_TIMEOUT_S: Final = 0.5
MAX_TRIES: Final = 5  # all with the same claim id, so that a retry after a lost answer is no second claim
CLAIM_TIMEOUT_S: Final = 1.5  # after which an undecided request is refused as not run
MAX_RETRY_DELAY_S: Final = 0.1  # full jitter; the slot may get a new owner between two tries

logger = logging.getLogger(__name__)

_REFUSALS: Final[dict[Verdict, NotRun | Unknown]] = {
    Verdict.CLAIMED: Unknown(Reason.CLAIMED),
    Verdict.TOO_OLD: Unknown(Reason.KEY_TOO_OLD),
    Verdict.FROM_THE_FUTURE: NotRun(Reason.KEY_FROM_THE_FUTURE),
}


class ClaimsBySlot:
    """Sends each claim to the owner of the key's slot, which may be this node."""

    def __init__(self, node: NodeId, ownership: SlotOwnership, client: PeerClient) -> None:
        self._node = node
        self._ownership = ownership
        self._client = client

    async def claim(self, customer: CustomerName, repeat_key: RepeatKey) -> Claim | NotRun | Unknown:
        """Claim a request, or return why it is not run."""
        if read_key_time(repeat_key) is None:
            return NotRun(Reason.KEY_WITHOUT_TIME)
        claim = Claim(uuid.uuid4().hex, customer, repeat_key)
        with anyio.move_on_after(CLAIM_TIMEOUT_S):
            outcome = await self._claim_at_owner(claim)
            if outcome is not None:
                return outcome
        # The request is not run, but the owner may have stored the claim: a retry may then be refused as claimed.
        return NotRun(Reason.CLAIM_OWNER_AWAY, retry_after=2.0)

    async def _claim_at_owner(self, claim: Claim) -> Claim | NotRun | Unknown | None:
        """Ask the slot's owner, and a new owner if the slot is reassigned meanwhile; None if no owner decides."""
        for _ in range(MAX_TRIES):
            owner = self._ownership.find_owner(claim.customer, claim.repeat_key)
            verdict = await self._ask(owner, claim) if owner else Verdict.NOT_OWNER
            if verdict is Verdict.WON:
                return claim
            if verdict in _REFUSALS:
                return _REFUSALS[verdict]
            await anyio.sleep(random.uniform(0, MAX_RETRY_DELAY_S))
            if not await self._ownership.refresh(0.0):
                return None
        return None

    async def _ask(self, owner: SlotOwner, claim: Claim) -> Verdict | None:
        if owner.node == self._node:
            return self._ownership.claim(claim.customer, claim.repeat_key, claim.id)
        query = ClaimRequest(claim.customer, claim.repeat_key, claim.id)
        answer = await self._client.ask(owner.address, query, ASK_TIMEOUT_S)
        return answer.verdict if isinstance(answer, ClaimAnswer) else None

    async def release(self, claim: Claim) -> None:
        """Release the claim of a request that was not run; if the message is lost, the key stays claimed."""
        owner = self._ownership.find_owner(claim.customer, claim.repeat_key)
        if owner is None:
            return
        if owner.node == self._node:
            self._ownership.release(claim.customer, claim.repeat_key, claim.id)
            return
        query = ReleaseRequest(claim.customer, claim.repeat_key, claim.id)
        await self._client.ask(owner.address, query, ASK_TIMEOUT_S)


__all__ = ["ClaimsBySlot"]
