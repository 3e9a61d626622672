"""Sending of orders to upstreams over HTTP."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

import aiohttp
import msgspec

from poplarlug.control.orders import FencingNumber, OrderRequest, OrderStatus
from poplarlug.relay.answer_end import Framing, framing_of
from poplarlug.relay.connections import CheckedConnector
from poplarlug.relay.probing import is_listening
from poplarlug.types import Address, Seconds

MAX_REPLY_BYTES = 64 * 1024


class OrderReply(NamedTuple):
    status: OrderStatus
    message: str = ""


class OrderEndpoint(ABC):
    """Interface for sending orders to an upstream."""

    @abstractmethod
    async def send(
        self,
        *,
        address: Address,
        order: OrderRequest,
        fencing: FencingNumber,
        may_send: Callable[[], bool],
        timeout_seconds: Seconds,
    ) -> OrderReply:
        """
        Send ``order`` and return the upstream's reply.

        Parameters
        ----------
        may_send : callable
            Called right before the order leaves this process; the order is not sent
            if it returns ``False``.

        Returns
        -------
        OrderReply
            ``UNKNOWN`` if no whole answer came or the order was not sent.
        """


class OrderBody(NamedTuple):
    """Fields of the JSON body of ``POST /orders``."""

    action: str
    model: str
    argument: str
    order_id: str
    fencing: tuple[int, int]


class HttpOrderEndpoint(OrderEndpoint):
    """Send orders as ``POST /orders``, with ``[term, log_index]`` as fencing number."""

    async def send(
        self,
        *,
        address: Address,
        order: OrderRequest,
        fencing: FencingNumber,
        may_send: Callable[[], bool],
        timeout_seconds: Seconds,
    ) -> OrderReply:
        body = OrderBody(
            order.action,
            order.model,
            order.argument,
            order.order_id,
            (fencing.term, fencing.log_index),
        )
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        # A new connection per order, because a pooled one may be dead unnoticed.
        connector = CheckedConnector(header_names=None, force_close=True)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, connector=connector) as session,
                session.post(
                    f"http://{address}/orders",
                    data=_checked_body(body, may_send),
                    headers={"Content-Type": "application/json"},
                ) as response,
            ):
                data = await _read_whole(response.content)
                if data is None:
                    message = f"the reply is longer than {MAX_REPLY_BYTES} bytes"
                    return OrderReply(OrderStatus.UNKNOWN, message)
                is_unframed = framing_of(response, "POST") is Framing.CONNECTION
                status = response.status
            if is_unframed and not await is_listening(address):
                message = "the connection ended, and its upstream is gone"
                return OrderReply(OrderStatus.UNKNOWN, message)
            return _to_reply(status, data)
        except (aiohttp.ClientError, OSError, TimeoutError, _NotSentError) as error:
            return OrderReply(OrderStatus.UNKNOWN, f"no answer: {error!r}")


class _NotSentError(Exception):
    """Aborts the HTTP request if the lease ended before the order was sent."""


async def _checked_body(
    body: OrderBody, may_send: Callable[[], bool]
) -> AsyncIterator[bytes]:
    # Checked right before the body is sent, as connecting may outlast the lease.
    data = msgspec.json.encode(body._asdict())
    if not may_send():
        raise _NotSentError("the lease ended before the order was sent")
    yield data


async def _read_whole(content: aiohttp.StreamReader) -> bytes | None:
    """Return a body up to its end, or ``None`` if it is too long."""
    data = b""
    while part := await content.read(MAX_REPLY_BYTES + 1 - len(data)):
        data += part
        if len(data) > MAX_REPLY_BYTES:
            return None
    return data


def _to_reply(status: int, data: bytes) -> OrderReply:
    message = data.decode(errors="replace")
    if status == 200:
        return OrderReply(OrderStatus.DONE, message)
    if 400 <= status < 500:
        return OrderReply(OrderStatus.REFUSED, message)
    return OrderReply(OrderStatus.UNKNOWN, f"status {status}: {message}")
