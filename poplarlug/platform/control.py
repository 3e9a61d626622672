"""HTTP API for operators and upstreams, and entry point of a control replica."""

import signal

if __name__ == "__main__":
    # By default, a SIGHUP during the imports would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os
from pathlib import Path

from aiohttp import web
from returns.result import Failure

from poplarlug.control.routing_service import RoutingService, wait_for_departure
from poplarlug.control.seeded import SeededControl, run_seeded_control
from poplarlug.control.standstill import StandstillWatch
from poplarlug.daemon import Site, run_daemon
from poplarlug.discovery.record_checks import find_problem, is_name
from poplarlug.discovery.records import ServiceUpstream
from poplarlug.discovery.registrar import Registrar
from poplarlug.logs import ComponentLogger
from poplarlug.platform.documents import (
    decode_configuration,
    decode_heartbeat,
    deregistration_record,
)
from poplarlug.platform.names import (
    CONFIGURATION_PATH,
    EVACUATION_PATH,
    SETTINGS_VARIABLE,
    UPSTREAM_PATH,
)
from poplarlug.platform.settings import translate_control_settings
from poplarlug.seeded_settings import SeededControlSettings
from poplarlug.settings import short_repr

MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
"""Limit of an operator's document; a few thousand routes take about 2 MB."""

MAX_HEARTBEAT_BYTES = 1024 * 1024
"""Limit of an upstream's heartbeat; most have a few hundred bytes."""

_log = ComponentLogger(prefix="platform")


class ControlHandlers:
    """Handlers for the platform's HTTP requests to a control replica."""

    def __init__(
        self,
        *,
        routing: RoutingService,
        registrar: Registrar,
        standstill: StandstillWatch,
    ) -> None:
        self._routing = routing
        self._registrar = registrar
        self._standstill = standstill

    def build(self) -> web.Application:
        app = web.Application(client_max_size=MAX_DOCUMENT_BYTES)
        app.router.add_put(CONFIGURATION_PATH, self.put_configuration)
        app.router.add_get(CONFIGURATION_PATH, self.get_configuration)
        app.router.add_post(EVACUATION_PATH, self.evacuate)
        app.router.add_delete(EVACUATION_PATH, self.end_evacuation)
        app.router.add_put(UPSTREAM_PATH, self.put_upstream)
        app.router.add_delete(UPSTREAM_PATH, self.delete_upstream)
        return app

    async def put_configuration(self, request: web.Request) -> web.Response:
        body = await request.read()
        decoded = decode_configuration(body)
        if isinstance(decoded, Failure):
            problems = [problem._asdict() for problem in decoded.failure()]
            _log.warning("rejected a configuration", problems=problems[:5])
            return web.json_response({"problems": problems}, status=400)
        changed = await self._routing.put_table(decoded.unwrap(), body)
        if isinstance(changed, Failure):
            return _unavailable(changed.failure())
        return web.json_response({"version": changed.unwrap()})

    async def get_configuration(self, request: web.Request) -> web.Response:
        read = await self._routing.read()
        if isinstance(read, Failure):
            return _unavailable(read.failure())
        source = read.unwrap().source
        if not source:
            return _unavailable("no configuration was set yet")
        return web.Response(body=source, content_type="application/json")

    async def evacuate(self, request: web.Request) -> web.Response:
        return await self._set_evacuated(request, True)

    async def end_evacuation(self, request: web.Request) -> web.Response:
        return await self._set_evacuated(request, False)

    async def put_upstream(self, request: web.Request) -> web.Response:
        upstream_id = request.match_info["id"]
        limited = request.clone(client_max_size=MAX_HEARTBEAT_BYTES)
        try:
            body = await limited.read()
        except web.HTTPRequestEntityTooLarge as error:
            return _reject("heartbeat", upstream_id, error.text or "", error.status)
        decoded = decode_heartbeat(upstream_id, body)
        if isinstance(decoded, Failure):
            return _reject("heartbeat", upstream_id, decoded.failure())
        return await self._record_upstream(decoded.unwrap())

    async def delete_upstream(self, request: web.Request) -> web.Response:
        record = deregistration_record(request.match_info["id"])
        problem = find_problem(record)
        if problem is not None:
            return _reject("deregistration", record.id, problem)
        known = self._registrar.registry.upstream(record.id)
        if known is not None:
            # A run that is heard of from now on can't be the one that says farewell.
            record = record._replace(born=known.born)
        await wait_for_departure()
        if not _is_awaited(request):
            _log.warning("dropped a farewell whose sender left", upstream=record.id)
            return _unavailable("the sender of the farewell has left")
        return await self._record_upstream(record)

    async def _record_upstream(self, record: ServiceUpstream) -> web.Response:
        if self._standstill.may_read_late:
            _log.warning("refused what may be outdated", upstream=record.id)
            return _unavailable("this replica stood still and may have read this late")
        if await self._registrar.receive_announcement(record):
            return web.json_response({})
        return _unavailable("no disk holds this farewell yet")

    async def _set_evacuated(
        self, request: web.Request, evacuated: bool
    ) -> web.Response:
        zone = request.match_info["zone"]
        if not is_name(zone):
            _log.warning("rejected an evacuation", zone=short_repr(zone))
            return web.json_response({"problem": "not a zone's name"}, status=400)
        changed = await self._routing.evacuate(
            zone, evacuated, is_awaited=lambda: _is_awaited(request)
        )
        if isinstance(changed, Failure):
            return _unavailable(changed.failure())
        return web.json_response({})


def _reject(
    what: str, upstream_id: str, reason: str, status: int = 400
) -> web.Response:
    _log.warning(f"rejected a {what}", upstream=short_repr(upstream_id), reason=reason)
    return web.json_response({"problem": reason}, status=status)


def _is_awaited(request: web.Request) -> bool:
    """Return whether the sender's connection is still open."""
    transport = request.transport
    return transport is not None and not transport.is_closing()


def _unavailable(reason: str) -> web.Response:
    return web.json_response({"problem": reason}, status=503)


def _make_sites(control: SeededControl, settings: SeededControlSettings) -> list[Site]:
    handlers = ControlHandlers(
        routing=control.routing,
        registrar=control.registrar,
        standstill=control.standstill,
    )
    return [Site(settings.http, handlers.build())]


async def _run(settings: SeededControlSettings, folder: Path) -> int:
    file = Path(os.environ[SETTINGS_VARIABLE])
    return await run_seeded_control(
        settings,
        settings_file=file,
        make_sites=_make_sites,
        translate=translate_control_settings,
    )


def main() -> None:
    """Run a control replica with the settings file that the platform wrote."""
    run_daemon(
        SeededControlSettings,
        _run,
        settings_file=os.environ[SETTINGS_VARIABLE],
        translate=translate_control_settings,
    )


if __name__ == "__main__":
    main()
