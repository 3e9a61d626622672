"""Common parts of all daemons: command line, settings, signals, health endpoints."""

import asyncio
import ctypes
import gc
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple, NoReturn, TypeVar, cast

from aiohttp import web
from returns.result import Success

from poplarlug.logs import ComponentLogger, configure_logs
from poplarlug.metrics import serve_metrics
from poplarlug.settings import SettingsError, Translate, load_settings
from poplarlug.settings_files import DaemonSettings, check_files
from poplarlug.topology import LogSettings
from poplarlug.types import Address

T = TypeVar("T")

EXIT_BAD_SETTINGS = 2

M_MMAP_THRESHOLD = -3
"""Number of the C library's option; see mallopt(3)."""

LARGE_BYTES = 128 * 1024
"""Blocks of this size and more are given back to the system when they are freed."""

_log = ComponentLogger(prefix="daemon")


class Site(NamedTuple):
    """An HTTP application of a daemon and its listening address."""

    address: Address
    app: web.Application


def run_daemon(
    kind: type[T],
    main: Callable[[T, Path], Awaitable[int]],
    *,
    settings_file: str | None = None,
    translate: Translate | None = None,
) -> None:
    """
    Read the command line ``--settings FILE [--check]`` and run ``main``.

    Parameters
    ----------
    kind : type
        ``NamedTuple`` class of the settings; its ``log`` field configures logging.
        Settings with a topology file also have the files that they name checked.
    main : callable
        Takes the settings and the folder of their file; returns the exit status.
    settings_file : str, optional
        Settings file to use if the command line names none.
    translate : callable, optional
        Turns the file's content into settings.
    """

    def command(settings: str | None = settings_file, check: bool = False) -> None:
        """Run the daemon with the settings in a file of JSON with comments."""
        if settings is None:
            exit_with_errors([SettingsError("--settings", "missing; name a file")])
        path = Path(settings)
        loaded = load_settings(path, kind, translate)
        if not isinstance(loaded, Success):
            exit_with_errors(loaded.failure())
        value = loaded.unwrap()
        if hasattr(value, "topology_file"):
            errors = check_files(cast(DaemonSettings, value), path.parent)
            if errors:
                exit_with_errors(errors)
        if check:
            print(f"{settings}: no errors")
            return
        log = cast(LogSettings, getattr(value, "log", LogSettings()))
        configure_logs(log_format=log.format, level=log.level)
        # By default, a SIGHUP before the daemon handles reloads would terminate it.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        _give_back_large_blocks()
        # Garbage collections needn't look at what the imports left.
        gc.freeze()
        raise SystemExit(asyncio.run(_run(main(value, path.parent))))

    if settings_file is not None and len(sys.argv) == 1:
        command()
        return
    # Not at the top: most daemons have no arguments, and loading it delays their start.
    import fire

    fire.Fire(command)


def exit_with_errors(errors: list[SettingsError]) -> NoReturn:
    """Print the errors of a settings file and exit with status 2."""
    for error in errors:
        print(str(error), file=sys.stderr)
    raise SystemExit(EXIT_BAD_SETTINGS)


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event


def add_health_routes(app: web.Application, ready: Callable[[], bool]) -> None:
    """Add ``/healthz``, ``/readyz`` and ``/metrics`` to ``app``."""

    async def serve_health(request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def serve_ready(request: web.Request) -> web.Response:
        status = 200 if ready() else 503
        return web.json_response({"ready": ready()}, status=status)

    app.router.add_get("/healthz", serve_health)
    app.router.add_get("/readyz", serve_ready)
    app.router.add_get("/metrics", serve_metrics)


async def serve_http(app: web.Application, address: str) -> web.AppRunner:
    """Serve ``app`` at ``address`` and return its runner."""
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(app, access_log=None, handle_signals=False)
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    return runner


def _give_back_large_blocks() -> None:
    # By default, the first large blocks that are freed make the C library keep later ones.
    try:
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, LARGE_BYTES)
    except (AttributeError, OSError) as error:
        _log.warning("the allocator takes no options", error=repr(error))


async def _run(main: Awaitable[int]) -> int:
    return await main
