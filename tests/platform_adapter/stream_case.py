"""Callers of streams beside two software versions, with real processes on loopback."""

import http.client
import re
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from itertools import cycle
from typing import ClassVar, NamedTuple

from poplarlug.platform.names import HEADER_NAMES
from poplarlug.relay.events import LAST_EVENT_HEADER
from poplarlug.soak.upstream import STREAM_EVENTS, Upstream
from tests.platform_adapter.case import DeploymentTestCase
from tests.platform_adapter.test_whole_path import HOST

STREAMS = 24
MAX_JOINED = 2
"""The users' rule: at most this many streams may hold events of two versions."""

MIN_RESUMED_RATIO = 0.5
"""The users' rule: streams that callers resume go on at least this often, compared with
how often new ones begin."""

ATTEMPT_SECONDS = 8.0
CALLER_SECONDS = 10.0
"""How long a caller resumes its stream; entries take a second or two to start."""

RETRY_SECONDS = 0.15
OLD, NEW = "v1", "v2"

ROUTES = {
    "look": {"route_kind": "safe"},
    "resume": {"route_kind": "streaming", "resumable": True, "timeout_ms": 15000},
}

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class Attempt(NamedTuple):
    """One attempt of a caller: the status and the events that arrived, and how it ended."""

    id: str
    status: int
    events: list[tuple[int, str]]
    is_whole: bool


class Stream:
    """A stream and the attempts of its caller, who resumes it while it breaks off."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []

    @property
    def events(self) -> list[tuple[int, str]]:
        return [event for attempt in self.attempts for event in attempt.events]

    @property
    def versions(self) -> set[str]:
        return {version for _, version in self.events}

    @property
    def is_whole(self) -> bool:
        numbers = [number for number, _ in self.events]
        return self.attempts[-1].is_whole and numbers == list(range(STREAM_EVENTS))

    @property
    def was_resumed(self) -> bool:
        """Whether the caller asked for the rest of the stream."""
        return len(self.attempts) > 1 and bool(self.attempts[0].events)

    @property
    def headers(self) -> dict[str, str]:
        """Headers with which the next attempt asks for the rest."""
        if not self.events:
            return {}
        first = next(attempt.id for attempt in self.attempts if attempt.events)
        last, _ = self.events[-1]
        return {LAST_EVENT_HEADER: str(last), HEADER_NAMES.resumes: first}


class StreamCase(DeploymentTestCase):
    """Three entries in one zone, and streams whose events name their version."""

    entry_zones: ClassVar[tuple[str, ...]] = ("quito-a", "quito-a", "quito-a")

    def add_version(self, name: str, version: str) -> Upstream:
        upstream = self.add_upstream(name)
        upstream.version = upstream.event_data = version
        upstream.event_seconds = 0.15
        upstream.slots = STREAMS
        return upstream

    def attempt(self, entry: str, headers: dict[str, str]) -> Attempt:
        """Read a stream until it ends or breaks off."""
        request_id = uuid.uuid4().hex
        host, _, port = self.deployment.entry_address(entry).rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=ATTEMPT_SECONDS
        )
        data = b""
        status = 0
        is_whole = False
        try:
            connection.request(
                "POST",
                "/resume/7",
                b"hello",
                {
                    "Host": HOST,
                    HEADER_NAMES.request_id: request_id,
                    HEADER_NAMES.deadline: "12000",
                    **headers,
                },
            )
            response = connection.getresponse()
            status = response.status
            while part := response.read1():
                data += part
            is_whole = status == 200
        except (OSError, http.client.HTTPException):
            # Broken off; the events that arrived count.
            is_whole = False
        finally:
            connection.close()
        events = [
            (int(number), version.decode()) for number, version in _EVENT.findall(data)
        ]
        return Attempt(request_id, status, events if status == 200 else [], is_whole)

    def run_stream(self, names: list[str]) -> Stream:
        """Read a stream, and resume it at the next entries while it breaks off."""
        stream = Stream()
        entries = cycle(names)
        until = time.monotonic() + CALLER_SECONDS
        while time.monotonic() < until:
            stream.attempts.append(self.attempt(next(entries), stream.headers))
            if stream.attempts[-1].is_whole:
                break
            time.sleep(RETRY_SECONDS)
        return stream

    def entries_from(self, number: int) -> list[str]:
        """Return the entries that a caller asks in turn."""
        first = number % len(self.entries)
        return [*self.entries[first:], *self.entries[:first]]

    def run_streams(self, disturb: Callable[[], None]) -> list[Stream]:
        """Run streams over all entries, and disturb them once they have begun."""
        with ThreadPoolExecutor(STREAMS) as pool:
            running = [
                pool.submit(self.run_stream, self.entries_from(number))
                for number in range(STREAMS)
            ]
            time.sleep(0.8)
            disturb()
            return [future.result() for future in running]

    def check_not_joined(self, streams: list[Stream]) -> None:
        joined = [stream for stream in streams if len(stream.versions) > 1]
        self.assertLessEqual(len(joined), MAX_JOINED)

    def check_resumed(self, streams: list[Stream]) -> None:
        """Check that callers' resumed streams go on, as all new ones begin."""
        resumed = [stream for stream in streams if stream.was_resumed]
        self.assertGreaterEqual(len(resumed), 4)
        whole = sum(stream.is_whole for stream in resumed)
        self.assertGreaterEqual(whole / len(resumed), MIN_RESUMED_RATIO)

    def restart(self, names: list[str]) -> None:
        for name in names:
            self.deployment.kill(name)
        for name in names:
            self.deployment.start(name)
