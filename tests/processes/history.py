"""Histories of callers' requests and the guarantees that they must satisfy."""

import json
import threading
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Literal, NamedTuple, TypeAlias

from poplarlug.fakes.engine import tokens_of
from poplarlug.fakes.ledger import LedgerLine

CallKind: TypeAlias = Literal["chat", "stream", "book"]
REGION_REFUSAL = "region_not_allowed"


class Call(NamedTuple):
    """
    One request of a caller and its answer.

    Parameters
    ----------
    name : str
        Prompt or idempotency key; a resend has the same one.
    status : int
        HTTP status; 0 when the connection broke.
    started, ended : float
        Monotonic seconds.
    """

    request_id: str
    kind: CallKind
    account: str
    name: str
    entry: str
    started: float
    ended: float
    status: int
    body: bytes
    fields: Mapping[str, Any] = {}

    @property
    def error(self) -> Mapping[str, Any]:
        if self.status < 400:
            return {}
        try:
            return json.loads(self.body)["error"]
        except (ValueError, KeyError, TypeError):
            return {"type": "untyped", "ran": None}

    @property
    def reported_not_run(self) -> bool:
        return self.error.get("ran", None) is False


class VersionReading(NamedTuple):
    """A configuration number that a caller read at an entry."""

    entry: str
    started: float
    ended: float
    number: int


class Run(NamedTuple):
    """One run of a request at an upstream of ``region``."""

    upstream: str
    region: str
    line: LedgerLine


class History:
    """Calls and configuration readings, recorded by many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.calls: list[Call] = []
        self.version_readings: list[VersionReading] = []

    def add_call(self, call: Call) -> None:
        with self._lock:
            self.calls.append(call)

    def add_version_reading(self, reading: VersionReading) -> None:
        with self._lock:
            self.version_readings.append(reading)


def check_history(
    history: History,
    runs: Sequence[Run],
    regions_by_account: Mapping[str, Sequence[str]],
) -> list[str]:
    """
    Return each violation of a guarantee as a sentence.

    Parameters
    ----------
    runs : sequence of Run
        All lines of all upstreams' ledgers.
    """
    return [
        *check_single_runs(history.calls, runs),
        *check_not_run(history.calls, runs),
        *check_complete_answers(history.calls),
        *check_regions(history.calls, runs, regions_by_account),
        *check_known_accounts(history.calls),
        *check_versions(history.version_readings),
    ]


def check_single_runs(calls: Iterable[Call], runs: Iterable[Run]) -> list[str]:
    """No booking's key runs twice."""
    keys = {call.name for call in calls if call.kind == "book"}
    counts = Counter(run.line.name for run in runs if run.line.name in keys)
    return [f"{key} ran {n} times" for key, n in sorted(counts.items()) if n > 1]


def check_not_run(calls: Iterable[Call], runs: Iterable[Run]) -> list[str]:
    """A request that was reported as not run is in no ledger."""
    upstreams_by_id = {run.line.request_id: run.upstream for run in runs}
    return [
        f"{call.name} through {call.entry}: told not run "
        f"({call.error['type']}), ran at {upstreams_by_id[call.request_id]}"
        for call in calls
        if call.reported_not_run and call.request_id in upstreams_by_id
    ]


def check_complete_answers(calls: Iterable[Call]) -> list[str]:
    """An answer with status 200 is complete and belongs to its request."""
    return [
        f"{call.kind} {call.name} through {call.entry}: got {call.body[-200:]!r}"
        for call in calls
        if call.status == 200 and not _is_complete(call)
    ]


def check_regions(
    calls: Iterable[Call],
    runs: Iterable[Run],
    regions_by_account: Mapping[str, Sequence[str]],
) -> list[str]:
    """No request runs at an upstream outside its account's regions."""
    accounts_by_name = {call.name: call.account for call in calls}
    broken = []
    for run in runs:
        account = accounts_by_name.get(run.line.name)
        if account is None:
            broken.append(f"{run.upstream} ran {run.line}, which nobody sent")
        elif run.region not in regions_by_account[account]:
            broken.append(f"{run.line.name} of {account} ran in {run.region}")
    return broken


def check_known_accounts(calls: Iterable[Call]) -> list[str]:
    """The configuration in force everywhere at the start is never reverted."""
    return [
        f"{call.name} through {call.entry}: {call.status} {call.error['type']}"
        for call in calls
        if call.status in (401, 403, 404) and call.error["type"] != REGION_REFUSAL
    ]


def check_versions(version_readings: Iterable[VersionReading]) -> list[str]:
    """A reading at an entry is never older than one that ended before it began."""
    broken = []
    readings_by_entry = defaultdict(list)
    for reading in version_readings:
        readings_by_entry[reading.entry].append(reading)
    for entry, entry_readings in readings_by_entry.items():
        newest = VersionReading(entry, 0.0, 0.0, -1)
        for reading in sorted(entry_readings, key=lambda reading: reading.ended):
            if reading.number < newest.number and reading.started > newest.ended:
                broken.append(f"{entry} showed {reading.number} after {newest.number}")
            newest = max(newest, reading, key=lambda reading: reading.number)
    return broken


def _is_complete(call: Call) -> bool:
    try:
        if call.kind == "book":
            return json.loads(call.body)["booked"] == call.name
        return _tokens_in(call) == list(tokens_of(dict(call.fields)))
    except (ValueError, KeyError, IndexError, TypeError):
        return False


def _tokens_in(call: Call) -> list[str]:
    if call.kind == "chat":
        return json.loads(call.body)["choices"][0]["message"]["content"].split()
    *events, end = [line for line in call.body.decode().split("\n\n") if line]
    if end != "data: [DONE]":
        raise ValueError("no end marker")
    parts = (json.loads(event.removeprefix("data: ")) for event in events)
    return [part["choices"][0]["delta"]["content"].strip() for part in parts]
