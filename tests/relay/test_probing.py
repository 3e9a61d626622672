"""Tests of looks at the address of a connection that has ended."""

import asyncio
import socket
import time
from unittest import IsolatedAsyncioTestCase

from poplarlug.relay.probing import FIRST_PROBE_SECONDS, MAX_LOOK_SECONDS, is_listening

PAUSE_AFTER_SECONDS = 0.06
"""Behind the first probe."""


class ListeningTests(IsolatedAsyncioTestCase):
    # Guards against half an answer that counts as whole as its upstream was replaced.
    async def test_successor_behind_a_pause_does_not_vouch(self) -> None:
        """The process stands still during its look, and a successor starts meanwhile."""
        for pause_seconds, expected in ((0.0, True), (MAX_LOOK_SECONDS, False)):
            with self.subTest(pause_seconds), socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                host, port = listener.getsockname()
                loop = asyncio.get_running_loop()
                before = FIRST_PROBE_SECONDS / 2
                loop.call_later(before, time.sleep, pause_seconds)
                loop.call_later(before, listener.listen)
                look = is_listening(f"{host}:{port}")
                self.assertEqual(await look, expected)

    # Guards against half an answer that counts as whole as its upstream was replaced
    # right after it had refused a connection.
    async def test_successor_of_a_closed_port_does_not_vouch(self) -> None:
        """Whether the process stands still meanwhile or not."""
        for pause_seconds in (0.0, MAX_LOOK_SECONDS):
            with self.subTest(pause_seconds), socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                host, port = listener.getsockname()
                loop = asyncio.get_running_loop()
                loop.call_later(PAUSE_AFTER_SECONDS, time.sleep, pause_seconds)
                loop.call_later(PAUSE_AFTER_SECONDS, listener.listen)
                self.assertFalse(await is_listening(f"{host}:{port}"))
