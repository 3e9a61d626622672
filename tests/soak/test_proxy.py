"""Tests of the fault-injecting proxy."""

import socket
import threading
import time
from unittest import TestCase
from unittest.mock import AsyncMock, Mock

from poplarlug.soak.proxy import FaultProxy, LinkMode

DELAY_SECONDS = 0.05


class FaultProxyTests(TestCase):
    def test_shorter_delay_keeps_the_order_of_bytes(self) -> None:
        """Shortening the delay of a connection doesn't reorder its bytes."""
        received = bytearray()
        server = socket.create_server(("127.0.0.1", 0))

        def take() -> None:
            connection, _ = server.accept()
            while data := connection.recv(100):
                received.extend(data)

        taking = threading.Thread(target=take, daemon=True)
        taking.start()
        with FaultProxy() as proxy:
            host, port = server.getsockname()
            address = proxy.link("near", "far", f"{host}:{port}")
            near = socket.create_connection(
                (address.split(":")[0], int(address.split(":")[1]))
            )
            proxy.set_delay(0.5, matching=lambda source, target: True)
            near.sendall(b"first ")
            time.sleep(0.1)
            proxy.set_delay(0.0, matching=lambda source, target: True)
            near.sendall(b"second")
            time.sleep(1.0)
            near.close()
        taking.join(5.0)
        server.close()
        self.assertEqual(bytes(received), b"first second")

    # Guards against faults that look like the end of an answer of an upstream that serves.
    def test_broken_link_is_reset_and_an_ended_target_refuses(self) -> None:
        """A plain close comes only from the target, which then refuses connections."""
        server = socket.create_server(("127.0.0.1", 0))
        with FaultProxy() as proxy:
            host, port = server.getsockname()
            own = proxy.link("near", "far", f"{host}:{port}").split(":")
            address = (own[0], int(own[1]))
            near = socket.create_connection(address, timeout=5.0)
            far, _ = server.accept()
            proxy.set_mode(LinkMode.REFUSE, matching=lambda source, target: True)
            with self.assertRaises(ConnectionResetError):
                near.recv(1)
            near.close()
            far.close()
            proxy.heal()
            near = socket.create_connection(address, timeout=5.0)
            far, _ = server.accept()
            proxy.set_listening("near", "far", False)
            far.sendall(b"part")
            far.close()
            self.assertEqual((near.recv(4), near.recv(1)), (b"part", b""))
            near.close()
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(address)
            proxy.set_listening("near", "far", True)
            socket.create_connection(address).close()
        server.close()

    def test_due_write_goes_before_later_bytes(self) -> None:
        """Bytes received while the event loop is busy don't overtake delayed ones."""
        # Regression test: the proxy reordered the events of a stream (seed 1604).
        written: list[bytes] = []
        chunks = [b"first ", b"second", b""]

        class BusyReader:
            async def read(self, size: int) -> bytes:
                if len(chunks) == 2:
                    proxy._delays_by_names.clear()
                    threading.Event().wait(2 * DELAY_SECONDS)
                return chunks.pop(0)

        with FaultProxy() as proxy:
            names = ("near", "far")
            proxy._modes_by_names[names] = LinkMode.PASS
            proxy._delays_by_names[names] = DELAY_SECONDS
            writer = Mock(**{"transport.is_closing.return_value": False})
            writer.write.side_effect = written.append
            writer.drain = AsyncMock()
            proxy._call(proxy._pump(names, BusyReader(), writer, Mock(), ()))
            time.sleep(3 * DELAY_SECONDS)
        self.assertEqual(written, [b"first ", b"second"])
