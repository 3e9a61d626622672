"""Tests of scrapes whose connection ends too early."""

import asyncio
import contextlib
import io
import tempfile
from pathlib import Path
from unittest import TestCase

from poplarlug.reports.main import MAX_SCRAPE_BYTES, Commands

METRICS = b"# TYPE poplarlug_requests_total counter\n"
METRICS += b'poplarlug_requests_total{outcome="answered",rank="urgent"} 7.0\n'
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(METRICS)


class ScrapeTests(TestCase):
    def scrape(self, answer: bytes) -> bytes:
        """Return what is stored of an entry that answers so and ends the connection."""

        async def talk(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                writer.write(answer)
                await writer.drain()
            writer.close()

        async def main(file: Path) -> None:
            server = await asyncio.start_server(talk, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            async with server:
                entry = f"sierra={host}:{port}"
                await asyncio.to_thread(Commands().scrape, entry, str(file))

        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "scrapes"
            with contextlib.redirect_stderr(io.StringIO()):
                asyncio.run(main(file))
            return file.read_bytes()

    def test_whole_scrape_is_stored(self) -> None:
        """It has a length."""
        self.assertIn(b'"answered":7.0', self.scrape(LENGTH + METRICS))

    # Guards against counters that seem to start again, so that requests count twice.
    def test_scrape_that_may_be_cut_short_is_not_stored(self) -> None:
        """Cut, without a length, or from an entry that fails."""
        unframed = b"HTTP/1.1 200 OK\r\n\r\n"
        failed = LENGTH.replace(b"200 OK", b"503 Bad")
        for answer in (
            LENGTH + METRICS[:-9],
            unframed,
            unframed + METRICS[:-1],
            failed + METRICS,
        ):
            self.assertEqual(self.scrape(answer), b"", answer)

    # Guards against a report that keeps an endless scrape.
    def test_scrape_that_is_too_long_is_not_stored(self) -> None:
        """It is read up to the limit."""
        comments = b"# x\n" * (MAX_SCRAPE_BYTES // 4)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        body = METRICS + comments
        self.assertEqual(self.scrape(head % len(body) + body), b"")
