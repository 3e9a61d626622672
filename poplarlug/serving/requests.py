"""A caller's request on its way through the system."""

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
    A checked request of one account.

    Parameters
    ----------
    path : str
        Path and query at the upstream.
    priority : int
        Priority of its rank for the engine, 0 the most urgent.
    repeatable : bool
        Whether it may run more than once.
    key : str
        The caller's ``Idempotency-Key``, empty when there is none.
    origin : VmName
        Entry that took the request from its caller.
    hops : int
        How often it was forwarded.
    first_send : bool
        Whether the caller says that it never sent the key before.
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
