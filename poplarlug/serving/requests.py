"""Caller requests as entries process and forward them."""

from typing import NamedTuple

from poplarlug.types import (
    AccountName,
    ModelName,
    RankName,
    RequestId,
    ServiceName,
    VmName,
)


class GatewayRequest(NamedTuple):
    """
    A validated request of one account.

    Parameters
    ----------
    path : str
        Path and query at the upstream.
    priority : int
        Priority of its rank at the engine; 0 is the most urgent.
    repeatable : bool
        Whether it may run more than once.
    key : str
        The caller's ``Idempotency-Key``, or empty.
    origin : VmName
        Entry that received the request from the caller.
    hops : int
        How often it was forwarded.
    first_send : bool
        Whether the caller declared that it has not sent this key before.
    """

    id: RequestId
    account: AccountName
    rank: RankName
    method: str
    path: str
    body: bytes
    content_type: str
    origin: VmName
    model: ModelName | None = None
    service: ServiceName | None = None
    stream: bool = False
    priority: int = 1
    repeatable: bool = True
    key: str = ""
    max_tokens: int = 0
    hops: int = 0
    first_send: bool = False
