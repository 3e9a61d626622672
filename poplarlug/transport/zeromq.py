"""Transport over ZeroMQ sockets with CURVE authentication and encryption."""

import asyncio
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import zmq
import zmq.asyncio
import zmq.auth
from zmq.auth.asyncio import AsyncioAuthenticator

from poplarlug.addresses import is_address
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import count_frame
from poplarlug.topology import KeyFiles
from poplarlug.transport.base import MAX_MESSAGE_BYTES, Transport
from poplarlug.transport.frames import Header, encode_header
from poplarlug.types import Address, Seconds, VmName

HIGH_WATER_MARK_MESSAGES = 1000
HEARTBEAT_INTERVAL_MILLISECONDS = 1000
HEARTBEAT_TIMEOUT_MILLISECONDS = 4000
CONNECT_TIMEOUT_MILLISECONDS = 350
"""How long one attempt to connect may take; three round trips between regions. The
kernel would repeat a lost packet only after a second, so that a link to a VM without
power would stand up to a second after its start."""

MIN_RECONNECT_MILLISECONDS = 50
MAX_RECONNECT_MILLISECONDS = 300
HANDSHAKE_TIMEOUT_MILLISECONDS = 5000
IDLE_LINK_SECONDS = 120.0
IDLE_CHECK_INTERVAL_SECONDS = 15.0

_log = ComponentLogger(prefix="transport")


class ZmqTransport(Transport):
    """
    Exchange frames over one ROUTER socket and one DEALER socket per peer.

    Frames from a peer whose public key is not in the peers folder are rejected. A frame
    is sent only while the link to the peer is established; none are queued for an
    unreachable peer. A link is opened by its first message and closed after being idle
    for ``idle_link_seconds``.

    Parameters
    ----------
    address : Address
        Address to listen on.
    addresses_by_name : mapping
        Addresses of the peers.
    keys : KeyFiles or None
        Secret key of this process and the folder of the peers' public keys. ``None`` on
        a trusted network: frames are not encrypted and any peer is accepted.
    """

    def __init__(
        self,
        *,
        name: VmName,
        address: Address,
        addresses_by_name: Mapping[VmName, Address],
        keys: KeyFiles | None,
        idle_link_seconds: Seconds = IDLE_LINK_SECONDS,
    ) -> None:
        super().__init__(name=name)
        self._idle_link_seconds = idle_link_seconds
        self._last_uses_by_name: dict[VmName, Seconds] = {}
        self._address = address
        self._addresses_by_name = addresses_by_name
        self._keys = keys
        self._public_key, self._secret_key = (
            (b"", b"") if keys is None else zmq.auth.load_certificate(keys.secret_file)
        )
        self._context: zmq.asyncio.Context | None = None
        self._router: zmq.asyncio.Socket | None = None
        self._dealers_by_name: dict[VmName, zmq.asyncio.Socket] = {}
        self._link_tasks_by_name: dict[VmName, tuple[asyncio.Task[None], ...]] = {}

    async def run(self) -> None:
        self._context = zmq.asyncio.Context()
        self._router = self._context.socket(zmq.ROUTER)
        _set_socket_options(self._router)
        authenticator = self._authenticate(self._context, self._router)
        self._router.bind(f"tcp://{self._address}")
        idle_closer = asyncio.ensure_future(self._close_idle_links())
        try:
            while True:
                frames = await self._router.recv_multipart()
                if len(frames) == 3:
                    count_frame("received", len(frames[2]))
                    self._receive_request(frames[0], frames[1], frames[2])
        finally:
            idle_closer.cancel()
            await self._close(authenticator)

    def _authenticate(
        self, context: zmq.asyncio.Context, router: zmq.asyncio.Socket
    ) -> AsyncioAuthenticator | None:
        if self._keys is None:
            return None
        authenticator = AsyncioAuthenticator(context)
        authenticator.start()
        authenticator.configure_curve(domain="*", location=self._keys.peers_folder)
        router.curve_secretkey = self._secret_key
        router.curve_publickey = self._public_key
        router.curve_server = True
        return authenticator

    def connect(self, peer: VmName) -> None:
        """Open the link to ``peer`` ahead of its first message."""
        if self._context is not None and peer not in self._dealers_by_name:
            self._open_dealer(self._context, peer)

    def open_links(self) -> list[VmName]:
        """Return the peers to which a link is open."""
        return list(self._dealers_by_name)

    def _open_dealer(
        self, context: zmq.asyncio.Context, peer: VmName
    ) -> zmq.asyncio.Socket | None:
        address = self._addresses_by_name.get(peer)
        if address is None or not self._has_key(peer):
            _log.warning("no address or public key for a peer", peer=peer)
            return None
        dealer = context.socket(zmq.DEALER)
        _set_socket_options(dealer)
        dealer.immediate = 1
        dealer.connect_timeout = CONNECT_TIMEOUT_MILLISECONDS
        dealer.reconnect_ivl = MIN_RECONNECT_MILLISECONDS
        dealer.reconnect_ivl_max = MAX_RECONNECT_MILLISECONDS
        if self._keys is not None:
            dealer.curve_secretkey = self._secret_key
            dealer.curve_publickey = self._public_key
            dealer.curve_serverkey, _ = zmq.auth.load_certificate(
                str(_key_file(self._keys, peer))
            )
        try:
            dealer.connect(f"tcp://{address}")
        except zmq.ZMQError as error:
            _log.warning(
                "failed to connect to a peer",
                peer=peer,
                address=address,
                error=str(error),
            )
            dealer.close()
            return None
        self._dealers_by_name[peer] = dealer
        self._link_tasks_by_name[peer] = (
            asyncio.ensure_future(self._receive_from(peer, dealer)),
            asyncio.ensure_future(self._monitor_link(peer, dealer)),
        )
        return dealer

    def _has_key(self, peer: VmName) -> bool:
        return self._keys is None or _key_file(self._keys, peer).exists()

    async def _receive_from(self, peer: VmName, dealer: zmq.asyncio.Socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            frames = await dealer.recv_multipart()
            self._last_uses_by_name[peer] = loop.time()
            self._receive_frames(frames)

    def _drain_received(self, peer: VmName, dealer: zmq.asyncio.Socket) -> None:
        while True:
            try:
                sync_socket: Any = dealer._shadow_sock
                frames = sync_socket.recv_multipart(flags=zmq.DONTWAIT)
            except zmq.Again:
                return
            except zmq.ZMQError as error:
                _log.warning("receive failed", peer=peer, error=str(error))
                return
            self._receive_frames(frames)

    def _receive_frames(self, frames: list[bytes]) -> None:
        if len(frames) == 2:
            count_frame("received", len(frames[1]))
            self._receive_reply(frames[0], frames[1])

    async def _monitor_link(self, peer: VmName, dealer: zmq.asyncio.Socket) -> None:
        monitor = dealer.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        while True:
            await monitor.recv_multipart()
            _log.debug("lost a link", peer=peer)
            # Frames received before the disconnect may still be queued in the socket.
            self._drain_received(peer, dealer)
            self._fail_exchanges(peer)

    def _send(self, peer: VmName, header: Header, payload: bytes) -> bool:
        if self._context is None:
            return False
        dealer = self._dealers_by_name.get(peer)
        if dealer is None:
            dealer = self._open_dealer(self._context, peer)
        self._last_uses_by_name[peer] = asyncio.get_running_loop().time()
        return dealer is not None and _send_nonblocking(
            dealer, [encode_header(header), payload]
        )

    def _reply(self, connection: Any, header: Header, payload: bytes) -> None:
        if self._router is not None:
            _send_nonblocking(
                self._router, [connection, encode_header(header), payload]
            )

    async def _close_idle_links(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(
                min(IDLE_CHECK_INTERVAL_SECONDS, self._idle_link_seconds)
            )
            idle_before = loop.time() - self._idle_link_seconds
            for peer in list(self._dealers_by_name):
                if self._last_uses_by_name.get(peer, 0.0) < idle_before:
                    await self._close_link(peer)

    async def _close_link(self, peer: VmName) -> None:
        _log.debug("closed an idle link", peer=peer)
        dealer = self._dealers_by_name.pop(peer)
        tasks = self._link_tasks_by_name.pop(peer)
        self._last_uses_by_name.pop(peer, None)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        dealer.disable_monitor()
        dealer.close(linger=0)
        self._fail_exchanges(peer)

    async def _close(self, authenticator: AsyncioAuthenticator | None) -> None:
        await self._stop_tasks()
        for peer in list(self._dealers_by_name):
            await self._close_link(peer)
        if authenticator is not None:
            authenticator.stop()
        if self._router is not None:
            self._router.close(linger=200)
            self._router = None
        if self._context is not None:
            self._context.destroy(linger=200)
            self._context = None


class NamedByAddress(Mapping[VmName, Address]):
    """
    Mapping for deployments without a list of VMs, where a peer's name is its address.

    Looking up a name that is not a valid address raises ``KeyError``, whichever peer
    sent the name.
    """

    def __getitem__(self, name: VmName) -> Address:
        if not is_address(name):
            raise KeyError(name)
        return name

    def __iter__(self) -> Iterator[VmName]:
        return iter(())

    def __len__(self) -> int:
        return 0


def _key_file(keys: KeyFiles, peer: VmName) -> Path:
    return Path(keys.peers_folder) / f"{peer}.key"


def _set_socket_options(socket: zmq.asyncio.Socket) -> None:
    socket.sndhwm = HIGH_WATER_MARK_MESSAGES
    socket.rcvhwm = HIGH_WATER_MARK_MESSAGES
    socket.maxmsgsize = MAX_MESSAGE_BYTES
    socket.heartbeat_ivl = HEARTBEAT_INTERVAL_MILLISECONDS
    socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MILLISECONDS
    socket.handshake_ivl = HANDSHAKE_TIMEOUT_MILLISECONDS
    socket.linger = 0


def _send_nonblocking(socket: Any, frames: list[bytes]) -> bool:
    # While the link is down, the asyncio socket would queue the frames itself; the
    # underlying synchronous socket fails immediately.
    try:
        zmq.Socket.send_multipart(
            socket._shadow_sock, frames, flags=zmq.DONTWAIT, copy=True
        )
    except zmq.Again:
        return False
    except zmq.ZMQError as error:
        _log.warning("send failed", error=str(error))
        return False
    count_frame("sent", len(frames[-1]))
    # A send may consume the descriptor's signal for a received message, so check for it.
    socket._schedule_remaining_events()
    return True
