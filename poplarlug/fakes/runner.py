"""Runs a stand-in upstream as a process."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from aiohttp import web

from poplarlug.daemon import serve_http, stop_event
from poplarlug.fakes.announcer import Announcer
from poplarlug.logs import configure_logs

LEAVE_SECONDS = 0.5


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
        Address that entries are told, when it is not ``listen`` itself.
    """
    configure_logs(log_format="json", level="warning")
    runner = await serve_http(app, listen)
    announcer = Announcer(
        entries=entries,
        describe=lambda: {**describe(), "address": announced or listen},
    )
    renewing = asyncio.ensure_future(announcer.run())
    await stop_event().wait()
    renewing.cancel()
    await announcer.leave()
    await asyncio.sleep(LEAVE_SECONDS)
    await runner.cleanup()
