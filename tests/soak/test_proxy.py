"""Tests of the proxy that injects faults."""

import socket
import threading
import time
from unittest import TestCase

from poplarlug.soak.proxy import FaultProxy


class FaultProxyTests(TestCase):
    def test_shorter_delay_keeps_the_order_of_bytes(self) -> None:
        """A connection never reorders its bytes, however its delay changes."""
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
