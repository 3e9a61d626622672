"""Client threads that send requests of all kinds and record the responses."""

import http.client
import itertools
import threading
import time
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from poplarlug.platform.names import HEADER_NAMES
from poplarlug.types import Address, Seconds

HOST = "soak.example"
KINDS = ("look", "book", "stream", "resume")
CALL_INTERVAL_SECONDS = 0.02
CALL_TIMEOUT_SECONDS = 6.0
CRASH_CALL_INTERVAL_SECONDS = 0.4
CRASH_BODY = b"deadly"
"""Body of a request that crashes the upstream executing it."""

COMMON_PART = "a0:400"
"""Prompt part that all requests with prompts share."""

CRASH_PART = "dead"
"""Id of a prompt part that crashes each upstream executing a request with it."""

FORGED_TEAM = "forged"
"""Team that callers with a key name themselves."""

RECONNECT_SHARE = 0.3
"""Fraction of requests before which a caller opens a new connection."""

BURST_SHARE = 0.2
BURST_PUTS = 4
"""This fraction of the writes of an operator are this many in direct succession."""


class Call(NamedTuple):
    """
    One request and its response as observed by the caller.

    Parameters
    ----------
    sent : float
        Monotonic time at which the request started.
    status : int
        HTTP status; 0 if the connection broke before the response was complete.
    body : bytes
        Body of the response, or its part that came before the connection broke.
    answered_id : str
        Request id in the response headers.
    key : str
        Key that it carried; empty for none.
    ended : float
        Monotonic time at which the response was complete or the connection broken.
    """

    id: str
    kind: str
    entry: Address
    sent: Seconds
    status: int
    body: bytes
    answered_id: str
    key: str = ""
    ended: Seconds = 0.0


class Caller(threading.Thread):
    """
    Thread that sends requests sequentially over keep-alive connections until stopped.

    Parameters
    ----------
    entries : sequence of Address
        Entries to choose from, whether or not they are running.
    shared_parts : str
        Prompt parts before each request's own one, as callers list them; empty for
        requests without prompts.
    reconnect_share : float
        Fraction of requests before which it opens a new connection; with 0 it keeps
        each connection until the entry closes it or is gone.
    pick_key : callable, optional
        Returns the key for a request, by the time; none are sent without it.
    """

    _numbers = itertools.count()

    def __init__(
        self,
        *,
        entries: Sequence[Address],
        rng: Random,
        shared_parts: str = "",
        reconnect_share: float = RECONNECT_SHARE,
        pick_key: Callable[[Seconds], str] | None = None,
    ) -> None:
        super().__init__(daemon=True)
        self._pick_key = pick_key
        self._reconnect_share = reconnect_share
        self._shared_parts = shared_parts
        self.calls: list[Call] = []
        self._entries = list(entries)
        self._rng = rng
        self._stopping = threading.Event()
        self._connection: http.client.HTTPConnection | None = None
        self._entry = ""

    def stop(self) -> None:
        self._stopping.set()

    def run(self) -> None:
        while not self._stopping.wait(CALL_INTERVAL_SECONDS):
            self.calls.append(self._call(self._rng.choice(KINDS)))
        self._close()

    def _call(self, kind: str) -> Call:
        request_id = f"{next(self._numbers):08x}"
        started = time.monotonic()
        path, body = self._path_and_body(kind, request_id)
        headers = {
            "Host": HOST,
            HEADER_NAMES.request_id: request_id,
            HEADER_NAMES.deadline: str(int(CALL_TIMEOUT_SECONDS * 1000)),
        }
        if self._shared_parts:
            headers[HEADER_NAMES.model] = "m"
            headers[HEADER_NAMES.token_counts] = "700,50"
            headers[HEADER_NAMES.prompt_parts] = f"{self._shared_parts},{request_id}:50"
        key = "" if self._pick_key is None else self._pick_key(started)
        if key:
            headers["Authorization"] = f"{HEADER_NAMES.key_scheme} {key}"
            headers[HEADER_NAMES.team] = FORGED_TEAM
        status, answer, answered = 0, b"", ""
        try:
            connection = self._connect()
            connection.request("POST", path, body, headers)
            response = connection.getresponse()
            answered = response.headers.get(HEADER_NAMES.request_id, "")
            answer = response.read()
            status = response.status
            if response.headers.get("Connection", "").lower() == "close":
                self._close()
        except http.client.IncompleteRead as error:
            answer = error.partial
            self._close()
        except (OSError, http.client.HTTPException):
            self._close()
        return Call(
            id=request_id,
            kind=kind,
            entry=self._entry,
            sent=started,
            status=status,
            body=answer,
            answered_id=answered,
            key=key,
            ended=time.monotonic(),
        )

    def _path_and_body(self, kind: str, request_id: str) -> tuple[str, bytes]:
        """Return the path and body of a request."""
        return f"/{kind}/{request_id}", f"{kind} {request_id}".encode()

    def _connect(self) -> http.client.HTTPConnection:
        if self._connection is None or self._rng.random() < self._reconnect_share:
            self._close()
            self._entry = self._rng.choice(self._entries)
            host, _, port = self._entry.rpartition(":")
            self._connection = http.client.HTTPConnection(
                host, int(port), timeout=CALL_TIMEOUT_SECONDS
            )
        return self._connection

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class CrashCaller(Caller):
    """Thread that repeatedly sends one request that crashes its upstreams."""

    def run(self) -> None:
        kind = self._rng.choice(KINDS)
        while not self._stopping.wait(CRASH_CALL_INTERVAL_SECONDS):
            self.calls.append(self._call(kind))

    def _path_and_body(self, kind: str, request_id: str) -> tuple[str, bytes]:
        return f"/{kind}/same", CRASH_BODY


class PartCrashCaller(Caller):
    """Thread that sends requests that share a part which crashes its upstreams."""

    def run(self) -> None:
        while not self._stopping.wait(CRASH_CALL_INTERVAL_SECONDS):
            self.calls.append(self._call(self._rng.choice(KINDS)))


class Operator(threading.Thread):
    """
    Thread that writes and reads the configuration at random control replicas.

    Parameters
    ----------
    replicas : int
        Number of control replicas.
    first_version : int
        Version already acknowledged at the start.
    put : callable
        Writes a version to a replica; returns whether the replica acknowledged it.
    read : callable
        Returns the version read from a replica, or ``None`` if the read failed.
    """

    def __init__(
        self,
        *,
        replicas: int,
        first_version: int,
        put: Callable[[int, int], bool],
        read: Callable[[int], int | None],
        rng: Random,
    ) -> None:
        super().__init__(daemon=True)
        self.acknowledged = first_version
        self.broken: list[str] = []
        self.puts = 0
        self._replicas = replicas
        self._version = first_version
        self._put = put
        self._read = read
        self._rng = rng
        # Its own, so that seeds keep the other draws of an operator.
        self._burst_rng = Random(first_version)
        self._stopping = threading.Event()

    def stop(self) -> None:
        self._stopping.set()

    def _write(self, replica: int) -> None:
        self._version += 1
        self.puts += 1
        if self._put(replica, self._version):
            self.acknowledged = max(self.acknowledged, self._version)

    def run(self) -> None:
        while not self._stopping.wait(self._rng.uniform(0.1, 0.6)):
            replica = self._rng.randrange(self._replicas)
            if self._rng.random() < 0.5:
                is_burst = self._burst_rng.random() < BURST_SHARE
                for _ in range(BURST_PUTS if is_burst else 1):
                    self._write(replica)
                continue
            known = self.acknowledged
            version = self._read(replica)
            if version is not None and version < known:
                self.broken.append(
                    f"replica {replica} read version {version} after {known} "
                    "was acknowledged"
                )
