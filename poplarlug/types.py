"""Type aliases that several packages share."""

from typing import Literal, TypeAlias

AccountName: TypeAlias = str
AdapterName: TypeAlias = str
ModelName: TypeAlias = str
RankName: TypeAlias = str
RegionName: TypeAlias = str
ServiceName: TypeAlias = str
SoftwareVersion: TypeAlias = str
ZoneName: TypeAlias = str

VmName: TypeAlias = str
"""Name of an entry VM or control VM, unique in a deployment."""

UpstreamId: TypeAlias = str
"""Identifier that an upstream chose for itself, unique in its zone."""

RequestId: TypeAlias = str
AttemptId: TypeAlias = str

Fingerprint: TypeAlias = int
"""A 64-bit hash of the content that all sends of the same request have in common."""

Address: TypeAlias = str
"""An IP address and a port, such as ``"127.0.0.1:8101"``."""

Seconds: TypeAlias = float
ConfigVersion: TypeAlias = int
"""Version of the whole configuration; increases by one with every change."""

ProfileName: TypeAlias = Literal["cost", "urgent_tail"]
"""What an account weights more: cost and the share of requests forwarded away, or the
tail latency of urgent requests."""

UpstreamKind: TypeAlias = Literal["engine", "service"]
