"""Runs a fake upstream as a process."""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Any

from aiohttp import web

from poplarlug.daemon import serve_http, stop_event
from poplarlug.fakes.announcer import Announcer
from poplarlug.logs import configure_logs

NANOSECONDS_PER_MILLISECOND = 1_000_000


async def run_fake(
    *,
    app: web.Application,
    listen: str,
    entries: Sequence[str],
    describe: Callable[[], dict[str, Any]],
    announced: str = "",
) -> None:
    """
    Serve ``app`` and announce it until SIGTERM, then leave and drain.

    Parameters
    ----------
    announced : str
        Address to announce if it differs from ``listen``.
    """
    configure_logs(log_format="json", level="warning")
    runner = await serve_http(app, listen)
    announcer = Announcer(
        entries=entries,
        describe=lambda: {**describe(), "address": announced or listen},
        incarnation=time.time_ns() // NANOSECONDS_PER_MILLISECOND,
    )
    renewal_task = asyncio.ensure_future(announcer.run())
    await stop_event().wait()
    renewal_task.cancel()
    await asyncio.gather(renewal_task, return_exceptions=True)
    await asyncio.sleep(await announcer.leave())
    await runner.cleanup()
