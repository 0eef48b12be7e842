"""Identifier types shared by all packages."""

from __future__ import annotations

from typing import NewType

NodeId = NewType("NodeId", str)  # one vaneturn-node process; new at each start
VmId = NewType("VmId", str)  # one VM of the platform, entry or backend server
DataHall = NewType("DataHall", str)
CustomerName = NewType("CustomerName", str)
ClassName = NewType("ClassName", str)
PipelineName = NewType("PipelineName", str)
ServiceName = NewType("ServiceName", str)
RequestId = NewType("RequestId", str)
SessionId = NewType("SessionId", str)  # one answer of a model; identifies the KV cache of its stages
RepeatKey = NewType("RepeatKey", str)  # Idempotency-Key of a caller, scoped to its customer
ChangeId = NewType("ChangeId", str)
Revision = NewType("Revision", int)  # of the configuration document; increases by one with each change
StoreVersion = NewType("StoreVersion", int)  # of one key in the key-value service; 0 means absent

__all__ = [
    "ChangeId",
    "ClassName",
    "CustomerName",
    "DataHall",
    "NodeId",
    "PipelineName",
    "RepeatKey",
    "RequestId",
    "Revision",
    "ServiceName",
    "SessionId",
    "StoreVersion",
    "VmId",
]
