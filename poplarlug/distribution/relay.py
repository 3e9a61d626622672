"""Forwards configuration updates to the other entries of a zone."""

import asyncio
from collections.abc import Sequence

from returns.result import Failure

from poplarlug.catalog import Update
from poplarlug.distribution.messages import PUSH_TOPIC, HeldVersion, Push, PushReply
from poplarlug.transport import Transport, TransportErrorKind
from poplarlug.types import Seconds, VmName

PEER_TIMEOUT_SECONDS = 0.8
LINK_RETRY_SECONDS = 0.1


class Relay:
    """
    Push updates to all peers of the zone concurrently.

    A peer that did not answer the last push is tried in the background, without waiting
    for it, so that a failed VM does not delay changes for the others.

    Parameters
    ----------
    peers : sequence of VmName
        The other entries of the zone.
    """

    def __init__(self, *, transport: Transport, peers: Sequence[VmName]) -> None:
        self._transport = transport
        self._peers = tuple(peers)
        self._unresponsive_peers: set[VmName] = set()
        self._probes_by_peer: dict[VmName, asyncio.Task[PushReply | None]] = {}

    async def push_to_peers(self, update: Update) -> tuple[HeldVersion, ...]:
        """Push ``update``; return the versions in force at the peers that answered."""
        peers = [peer for peer in self._peers if peer not in self._unresponsive_peers]
        for peer in self._unresponsive_peers - self._probes_by_peer.keys():
            self._probe(peer, update)
        replies = await asyncio.gather(*(self._push(p, update) for p in peers))
        return tuple(
            held for reply in replies if reply is not None for held in reply.held
        )

    def _probe(self, peer: VmName, update: Update) -> None:
        probe = asyncio.ensure_future(self._push(peer, update))
        self._probes_by_peer[peer] = probe
        probe.add_done_callback(lambda _: self._probes_by_peer.pop(peer))

    async def _push(self, peer: VmName, update: Update) -> PushReply | None:
        reply = await push(
            transport=self._transport,
            peer=peer,
            message=Push(update, relay=False),
            timeout_seconds=PEER_TIMEOUT_SECONDS,
        )
        if reply is None:
            self._unresponsive_peers.add(peer)
        else:
            self._unresponsive_peers.discard(peer)
        return reply


async def push(
    *, transport: Transport, peer: VmName, message: Push, timeout_seconds: Seconds
) -> PushReply | None:
    """
    Return the reply to a push, or ``None`` if none arrived in ``timeout_seconds``.

    While there is no link to the peer, the push is retried until the timeout.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_seconds
    while True:
        reply = await transport.request(
            peer=peer,
            topic=PUSH_TOPIC,
            message=message,
            reply_type=PushReply,
            timeout_seconds=max(0.0, deadline - loop.time()),
        )
        if not isinstance(reply, Failure):
            return reply.unwrap()
        if reply.failure().kind is not TransportErrorKind.NOT_SENT:
            return None
        if loop.time() + LINK_RETRY_SECONDS >= deadline:
            return None
        await asyncio.sleep(LINK_RETRY_SECONDS)
