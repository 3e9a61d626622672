"""TCP proxy that injects faults on the links between processes."""

import asyncio
import contextlib
import socket
import threading
from collections.abc import Callable
from enum import Enum
from random import Random
from types import TracebackType
from typing import Any, NamedTuple

from poplarlug.sockets import reset_connection

CHUNK_BYTES = 65536
MIN_WRITE_GAP_SECONDS = 1e-6
"""Minimum time between two scheduled writes of a connection, to keep their order."""


class LinkMode(Enum):
    """
    Behaviour of a link.

    ``PASS`` forwards all bytes. ``REFUSE`` resets connections. ``SILENT`` keeps
    connections open but drops bytes in both directions. ``LOSE_THERE`` drops bytes
    from source to target, ``LOSE_BACK`` those from target to source.
    """

    PASS = "pass"
    REFUSE = "refuse"
    SILENT = "silent"
    LOSE_THERE = "lose_there"
    LOSE_BACK = "lose_back"


class _Link(NamedTuple):
    source: str
    target: str
    target_address: str
    address: str


_DROPPING_TO_TARGET = (LinkMode.SILENT, LinkMode.LOSE_THERE)
_DROPPING_TO_SOURCE = (LinkMode.SILENT, LinkMode.LOSE_BACK)


class FaultProxy:
    """
    Proxy with one listener per link, each with an adjustable mode and delay.

    Bytes dropped by a silent link are not resent: connections that lost bytes are
    reset when the mode of the link changes, as they would time out on a network.
    """

    def __init__(self) -> None:
        self._links_by_names: dict[tuple[str, str], _Link] = {}
        self._modes_by_names: dict[tuple[str, str], LinkMode] = {}
        self._delays_by_names: dict[tuple[str, str], float] = {}
        self._lossy_writers: set[asyncio.StreamWriter] = set()
        self._writers_by_names: dict[tuple[str, str], set[asyncio.StreamWriter]] = {}
        self._servers_by_names: dict[tuple[str, str], asyncio.Server] = {}
        rng = Random()
        self._ip = (
            f"127.{rng.randint(1, 250)}.{rng.randint(1, 250)}.{rng.randint(2, 250)}"
        )
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def __enter__(self) -> "FaultProxy":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def link(self, source: str, target: str, address: str) -> str:
        """Return the proxy address through which ``source`` reaches ``target``."""
        names = (source, target)
        if names not in self._links_by_names:
            listener = _bind(self._ip, 0)
            own = f"{self._ip}:{listener.getsockname()[1]}"
            self._links_by_names[names] = _Link(source, target, address, own)
            self._modes_by_names[names] = LinkMode.PASS
            self._writers_by_names[names] = set()
            self._call(self._listen(names, listener))
        return self._links_by_names[names].address

    def set_mode(self, mode: LinkMode, *, matching: Callable[[str, str], bool]) -> None:
        """Set the mode of all links whose (source, target) match."""
        self._call(self._set_mode(mode, matching))

    def set_listening(self, source: str, target: str, is_listening: bool) -> None:
        """
        Let a link accept connections or not, as its target does.

        Connections that are open stay so.
        """
        self._call(self._set_listening((source, target), is_listening))

    def set_delay(
        self, seconds: float, *, matching: Callable[[str, str], bool]
    ) -> None:
        """Set the one-way delay of all links whose (source, target) match."""
        for names in self._links_by_names:
            if matching(*names):
                self._delays_by_names[names] = seconds

    def isolate(self, *names: str, mode: LinkMode = LinkMode.SILENT) -> None:
        """Partition the processes ``names`` from all others, in both directions."""
        inside = set(names)
        self.set_mode(mode, matching=lambda s, t: (s in inside) != (t in inside))

    def heal(self) -> None:
        """Restore all links to ``PASS``; delays stay."""
        self.set_mode(LinkMode.PASS, matching=lambda source, target: True)

    def close(self) -> None:
        """Stop the proxy and its thread."""
        self._call(self._cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(30)

    async def _cancel_all(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _set_mode(
        self, mode: LinkMode, matching: Callable[[str, str], bool]
    ) -> None:
        for names in self._links_by_names:
            if not matching(*names):
                continue
            self._modes_by_names[names] = mode
            for writer in list(self._writers_by_names[names]):
                if mode is LinkMode.REFUSE or writer in self._lossy_writers:
                    self._lossy_writers.discard(writer)
                    _reset(writer)

    async def _set_listening(self, names: tuple[str, str], is_listening: bool) -> None:
        server = self._servers_by_names[names]
        if not is_listening:
            server.close()
        elif not server.is_serving():
            host, _, port = self._links_by_names[names].address.rpartition(":")
            await self._listen(names, _bind(host, int(port)))

    async def _listen(self, names: tuple[str, str], listener: socket.socket) -> None:
        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            # asyncio.streams logs a cancelled connection handler as an error.
            with contextlib.suppress(asyncio.CancelledError):
                await self._forward_connection(names, reader, writer)

        server = await asyncio.start_server(accept, sock=listener)
        self._servers_by_names[names] = server

    async def _forward_connection(
        self,
        names: tuple[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._modes_by_names[names] is LinkMode.REFUSE:
            _reset(writer)
            return
        host, _, port = self._links_by_names[names].target_address.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        if self._modes_by_names[names] is LinkMode.REFUSE:
            # Set while the target was connected.
            _reset(writer)
            target_writer.transport.abort()
            return
        writers = self._writers_by_names[names]
        writers |= {writer, target_writer}
        to_target = self._pump(
            names, reader, target_writer, writer, _DROPPING_TO_TARGET
        )
        to_source = self._pump(
            names, target_reader, writer, target_writer, _DROPPING_TO_SOURCE
        )
        try:
            await asyncio.gather(to_target, to_source)
        finally:
            writers -= {writer, target_writer}
            writer.transport.abort()
            target_writer.transport.abort()

    async def _pump(
        self,
        names: tuple[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        other: asyncio.StreamWriter,
        dropping_modes: tuple[LinkMode, ...],
    ) -> None:
        loop = asyncio.get_running_loop()
        last_write = 0.0
        pending_writes = 0

        def write_delayed(data: bytes) -> None:
            nonlocal pending_writes
            pending_writes -= 1
            _write(writer, data)

        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._modes_by_names[names] in dropping_modes:
                    self._lossy_writers |= {writer, other}
                    continue
                delay = self._delays_by_names.get(names, 0.0)
                # Keeps bytes in order when the delay is shortened.
                last_write = max(
                    loop.time() + delay, last_write + MIN_WRITE_GAP_SECONDS
                )
                # A write that is already due may still be pending in the event loop.
                if pending_writes or last_write > loop.time():
                    pending_writes += 1
                    loop.call_at(last_write, write_delayed, data)
                else:
                    _write(writer, data)
                    await writer.drain()
        except OSError:
            _reset(writer)
            return
        if self._modes_by_names[names] in dropping_modes:
            # The end is lost as bytes are, and would be sent again on a network.
            self._lossy_writers |= {writer, other}
        else:
            other.transport.abort()
            delay = self._delays_by_names.get(names, 0.0)
            end = max(loop.time() + delay, last_write + MIN_WRITE_GAP_SECONDS)
            loop.call_at(end, writer.close)


def _bind(host: str, port: int) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    return listener


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; a plain close would look like the end of an answer."""
    if writer.transport.is_closing():
        writer.transport.abort()
    else:
        reset_connection(writer.transport)


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.transport.is_closing():
        writer.write(data)
