"""Tests of refusals that an upstream writes once more, with real processes on loopback."""

import http.client
import socket
import uuid
from collections import Counter
from typing import Any, ClassVar, NamedTuple

from aiohttp import web

from poplarlug.platform.names import HEADER_NAMES
from poplarlug.soak.upstream import Upstream
from tests.platform_adapter.case import DeploymentTestCase

BUSY_SECONDS = 0.1
"""Processing time of a request that the old refusal precedes."""

PAUSE_SECONDS = 0.02
"""Time from an answer to an old refusal that is written after it."""

REQUESTS = 6
MAX_ROUNDS = 8
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

ROUTES = {
    "look": {"route_kind": "safe", "max_attempts": 2},
    "book": {"route_kind": "unsafe", "max_attempts": 1},
    "stream": {"route_kind": "streaming", "max_attempts": 1},
    "resume": {"route_kind": "streaming", "resumable": True, "max_attempts": 2},
}


class RepeatedRefusal(NamedTuple):
    """
    How an upstream writes an earlier refusal once more.

    Parameters
    ----------
    place : str
        ``before`` the answer to a later request, in the same packet (``joined``), or
        ``after`` it, between two requests.
    status : int
        Status of the refusal; 429 and 503 have ``Retry-After``.
    is_named : bool
        Whether it echoes the id of the request that was refused.
    on_any_connection : bool
        Whether it comes wherever that request comes again.
    """

    place: str
    status: int = 503
    is_named: bool = False
    on_any_connection: bool = False


class RepeatingUpstream(Upstream):
    """
    Refuse every second request, and write refusals once more for those that run.

    Attributes
    ----------
    repeated : RepeatedRefusal or None
        What is written once more; ``None`` for nothing.
    is_refusing : bool
        Whether the next request is refused.
    repeats : int
        Number of refusals that were written once more.
    connections : set
        All connections on which a request came.
    started_by_id : collections.Counter
        Number of executions by request id, counted before anything is written.
    """

    def __init__(self, **options: Any) -> None:
        self.repeated: RepeatedRefusal | None = None
        self.is_refusing = False
        self.repeats = 0
        self.connections: set[object] = set()
        self.started_by_id: Counter[str] = Counter()
        self._refusals_by_origin: dict[object, bytes] = {}
        super().__init__(**options)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        repeated = self.repeated
        self.connections.add(request.transport)
        if repeated is None:
            return await super()._serve(request)
        assert request.transport is not None
        connection = request.transport
        if self.is_refusing:
            await request.read()
            self.is_refusing = False
            return self._refuse(request, repeated)
        self.started_by_id[request.headers[HEADER_NAMES.request_id]] += 1
        origin = self._origin_of(request, repeated)
        refusal = self._refusals_by_origin.pop(origin, b"")
        self.is_refusing = not refusal
        if not refusal:
            return await super()._serve(request)
        self.repeats += 1
        client_socket = connection.get_extra_info("socket")
        if repeated.place == "after":
            response = await super()._serve(request)
            self._loop.call_later(PAUSE_SECONDS, connection.write, refusal)
            return response
        if repeated.place == "joined":
            client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
            self._loop.call_later(PAUSE_SECONDS, uncork, client_socket)
            connection.write(refusal)
            return await super()._serve(request)
        connection.write(refusal)
        self.answer_seconds = BUSY_SECONDS
        return await super()._serve(request)

    def _origin_of(self, request: web.Request, repeated: RepeatedRefusal) -> object:
        """Return with what a refusal comes back: a request's id or its connection."""
        if repeated.on_any_connection:
            return request.headers[HEADER_NAMES.request_id]
        return request.transport

    def _refuse(
        self, request: web.Request, repeated: RepeatedRefusal
    ) -> web.StreamResponse:
        headers = {HEADER_NAMES.not_executed: "1"}
        if repeated.status in (429, 503):
            headers["Retry-After"] = "0.01"
        request_id = request.headers.get(HEADER_NAMES.request_id, "")
        named = {**headers, HEADER_NAMES.request_id: request_id}
        written = named if repeated.is_named else headers
        lines = [f"{name}: {value}" for name, value in written.items()]
        head = [f"HTTP/1.1 {repeated.status} Refused", "Content-Length: 0", *lines]
        origin = self._origin_of(request, repeated)
        self._refusals_by_origin[origin] = "\r\n".join([*head, "", ""]).encode()
        return web.Response(status=repeated.status, headers=named)


def uncork(client_socket: socket.socket) -> None:
    """Send what was held back for one packet."""
    if client_socket.fileno() >= 0:
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 0)


class Sent(NamedTuple):
    """One request: its status, 0 if the connection broke, and how often it ran."""

    status: int
    runs: int


class RepeatedRefusalCase(DeploymentTestCase):
    """Two such upstreams in Quito."""

    def setUp(self) -> None:
        super().setUp()
        self.upstreams = [self.add_repeating_upstream(name) for name in ("u-0", "u-1")]
        self.keep_announcing(*self.upstreams)
        self.configure(**ROUTES)
        self.wait_until_entries_are_known()
        self.wait_served()

    def add_repeating_upstream(self, name: str) -> RepeatingUpstream:
        upstream = RepeatingUpstream(
            upstream_id=name,
            ip=self.deployment.ip(name),
            service="desk",
            zone="quito-a",
        )
        self.addCleanup(upstream.close)
        return upstream

    def send(self, entry: str, route: str, request_id: str) -> Sent:
        """Send a request on a new connection, and read its answer."""
        former = self.runs_of(request_id)
        host, _, port = self.deployment.entry_address(entry).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        headers = self.headers() | {HEADER_NAMES.request_id: request_id}
        try:
            connection.request("POST", f"/{route}/7", b"hello", headers)
            response = connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        return Sent(status, self.runs_of(request_id) - former)

    def runs_of(self, request_id: str) -> int:
        return sum(upstream.started_by_id[request_id] for upstream in self.upstreams)

    def check(self, repeated: RepeatedRefusal) -> None:
        """Send requests of all kinds until refusals have been written once more."""
        for upstream in self.upstreams:
            upstream.repeated = repeated
            upstream.repeats = 0
        for _ in range(MAX_ROUNDS):
            for route in ROUTES:
                for entries in self.entries_in_turn():
                    self.check_route(repeated, entries, route)
            # A connection that refused a request may be left unused in a whole round.
            repeats = sum(upstream.repeats for upstream in self.upstreams)
            if repeats:
                break
        self.assertGreater(repeats, 0, f"no refusal was repeated: {repeated}")

    def entries_in_turn(self) -> list[tuple[str, ...]]:
        """Return to which entries a request is sent again and again, one after another."""
        return [(entry,) for entry in self.entries]

    def check_route(
        self, repeated: RepeatedRefusal, entries: tuple[str, ...], route: str
    ) -> None:
        """A request that ran isn't called not run, and runs once if it may not repeat."""
        request_id = uuid.uuid4().hex
        results = []
        for number in range(REQUESTS):
            if not repeated.is_named:
                request_id = uuid.uuid4().hex
            results.append(self.send(entries[number % len(entries)], route, request_id))
        where = f"{route} at {entries}, {repeated}: {results}"
        false_refusals = [
            sent for sent in results if sent.runs and sent.status in NOT_RUN_STATUSES
        ]
        self.assertEqual(false_refusals, [], f"ran, and told as not run: {where}")
        if route in ("book", "stream"):
            self.assertLessEqual(max(sent.runs for sent in results), 1, where)


class RepeatedRefusalTests(RepeatedRefusalCase):
    """An entry in Quito, and one in Guayaquil."""

    entry_zones: ClassVar[tuple[str, ...]] = ("quito-a", "guayaquil-a")

    def test_refusal_without_id_before_the_answer(self) -> None:
        """It may be an earlier one, so it doesn't tell that the request has not run."""
        for status in (503, 429, 421):
            self.check(RepeatedRefusal("before", status))

    def test_refusal_without_id_in_the_packet_of_the_answer(self) -> None:
        """The answer behind it shows that the request ran."""
        self.check(RepeatedRefusal("joined"))

    def test_refusal_without_id_between_requests(self) -> None:
        """Its connection isn't used again."""
        self.check(RepeatedRefusal("after"))

    def test_refusal_of_the_same_request_before_the_answer(self) -> None:
        """The id can't tell it from a new one; a connection that refused it can."""
        for status in (503, 429, 421):
            self.check(RepeatedRefusal("before", status, is_named=True))

    # Guards against requests that ran and were called not run, since a refusal of the
    # same id came once more on another connection.
    def test_refusal_of_the_same_request_on_another_connection(self) -> None:
        """An upstream that refuses the same request twice isn't believed."""
        for status in (503, 429, 421):
            self.check(
                RepeatedRefusal("before", status, is_named=True, on_any_connection=True)
            )

    def test_refusal_of_the_same_request_in_the_packet_of_the_answer(self) -> None:
        """The answer behind it shows that the request ran."""
        self.check(RepeatedRefusal("joined", is_named=True))

    def test_refusal_of_the_same_request_between_requests(self) -> None:
        """Its connection isn't used again."""
        self.check(RepeatedRefusal("after", is_named=True))

    def test_sound_refusals_are_believed_on_kept_connections(self) -> None:
        """Callers may send a booking once more; no refusal costs a connection."""
        for upstream in self.upstreams:
            upstream.fault = "refuse"
            upstream.connections.clear()
        for entry in self.entries:
            results = [self.send(entry, "book", uuid.uuid4().hex) for _ in range(20)]
            self.assertEqual({sent.status for sent in results}, {503})
        for upstream in self.upstreams:
            self.assertGreater(len(upstream.refused), 5)
            self.assertLessEqual(len(upstream.connections), 2)


class RepeatedRefusalAcrossEntriesTests(RepeatedRefusalCase):
    """Two entries in Quito, and one in Guayaquil that uses both."""

    entry_zones: ClassVar[tuple[str, ...]] = ("quito-a", "quito-a", "guayaquil-a")

    def entries_in_turn(self) -> list[tuple[str, ...]]:
        first, second, far = self.entries
        return [(first, second), (first, far), (far,), (first, second, far)]

    # Guards against old refusals that are believed at an entry which hasn't read them.
    def test_refusal_of_the_same_request_through_another_entry(self) -> None:
        """Entries of a region know of each other's refusals."""
        for status in (503, 429, 421):
            self.check(
                RepeatedRefusal("before", status, is_named=True, on_any_connection=True)
            )
