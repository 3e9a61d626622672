"""Type aliases that several packages share."""

from typing import Literal, TypeAlias

AccountName: TypeAlias = str
AdapterName: TypeAlias = str
ModelName: TypeAlias = str
RankName: TypeAlias = str
RegionName: TypeAlias = str
ServiceName: TypeAlias = str
ZoneName: TypeAlias = str

VmName: TypeAlias = str
"""Name of a VM of the system, unique in a deployment."""

UpstreamId: TypeAlias = str
"""Identifier that an upstream chose for itself, unique in its zone."""

RequestId: TypeAlias = str
AttemptId: TypeAlias = str

Fingerprint: TypeAlias = int
"""A hash of 64 bits of what all sends of the same request have in common."""

Address: TypeAlias = str
"""An IP number and a port, as ``"127.0.0.1:8101"``."""

Seconds: TypeAlias = float
ConfigVersion: TypeAlias = int
"""Version of the whole configuration; grows by one with every change."""

ProfileName: TypeAlias = Literal["cost", "urgent_tail"]
"""What an account weighs more: cost and share away, or urgent tail latency."""

UpstreamKind: TypeAlias = Literal["engine", "service"]
