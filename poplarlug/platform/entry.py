"""HTTP API of an entry for the platform, and the entry point of an entry."""

import signal

if __name__ == "__main__":
    # By default, a SIGHUP during the imports would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os
from pathlib import Path

from aiohttp import web

from poplarlug.daemon import Site, run_daemon
from poplarlug.entry.seeded import SeededEntry, run_seeded_entry
from poplarlug.platform.names import (
    DIRECTORY_PATH,
    HEADER_NAMES,
    READINESS_PATH,
    SETTINGS_VARIABLE,
)
from poplarlug.platform.settings import translate_entry_settings
from poplarlug.seeded_settings import SeededEntrySettings


class EntryHandlers:
    """Handlers for directory and readiness requests of callers and the platform."""

    def __init__(self, *, entry: SeededEntry, ttl_seconds: float) -> None:
        self._entry = entry
        self._ttl_seconds = ttl_seconds

    def build_directory(self) -> web.Application:
        app = web.Application()
        app.router.add_get(DIRECTORY_PATH, self.resolve)
        return app

    def build_readiness(self) -> web.Application:
        app = web.Application()
        app.router.add_get(READINESS_PATH, self.is_ready)
        return app

    async def resolve(self, request: web.Request) -> web.Response:
        addresses = self._entry.nearest_entry_addresses(
            request.query.get("zone", ""),
            request.query.get("region", ""),
            caller=request.remote or "",
        )
        if not addresses:
            return web.json_response({"problem": "no entry is known"}, status=503)
        return web.json_response({"addresses": addresses, "ttl_s": self._ttl_seconds})

    async def is_ready(self, request: web.Request) -> web.Response:
        ready = self._entry.is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)


def _make_sites(entry: SeededEntry, settings: SeededEntrySettings) -> list[Site]:
    handlers = EntryHandlers(entry=entry, ttl_seconds=settings.directory_life_seconds)
    return [
        Site(settings.directory, handlers.build_directory()),
        Site(settings.readiness, handlers.build_readiness()),
    ]


async def _run(settings: SeededEntrySettings, folder: Path) -> int:
    file = Path(os.environ[SETTINGS_VARIABLE])
    return await run_seeded_entry(
        settings,
        settings_file=file,
        header_names=HEADER_NAMES,
        make_sites=_make_sites,
        translate=translate_entry_settings,
    )


def main() -> None:
    """Run an entry with the settings file that the platform wrote."""
    run_daemon(
        SeededEntrySettings,
        _run,
        settings_file=os.environ[SETTINGS_VARIABLE],
        translate=translate_entry_settings,
    )


if __name__ == "__main__":
    main()
