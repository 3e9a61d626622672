"""Load on a deployment by callers and an operator, recorded in a history."""

import json
import threading
import time
import uuid
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any, NamedTuple

from examples.deployment import Deployment
from poplarlug.keys import generate_caller_key, hash_caller_key
from tests.processes.history import Call, CallKind, History, VersionReading

CALL_SECONDS = 4.0
PAUSE_SECONDS = 0.05
WATCH_PAUSE_SECONDS = 0.25
OPERATOR_PAUSE_SECONDS = 1.0
MAX_SENDS = 4
ANY_ENTRY_SHARE = 0.1
WATCHED_ACCOUNT = "watched"

SendRequest = Callable[..., Any]


class CallerAccount(NamedTuple):
    """An account used by the workload's callers."""

    name: str
    key: str
    home_region: str
    regions: tuple[str, ...]


class Workload:
    """
    Run caller threads, a watcher and an operator until :meth:`stop`.

    Parameters
    ----------
    send : callable
        ``ProcessTestCase.call`` of the test.
    accounts : sequence of CallerAccount
        Assigned to the caller threads in turn.
    """

    def __init__(
        self,
        *,
        send: SendRequest,
        deployment: Deployment,
        accounts: Sequence[CallerAccount],
        callers: int,
        seed: int,
    ) -> None:
        self.history = History()
        self.accepted_number = 0
        self._send = send
        self._seed = seed
        self._deployment = deployment
        self._entries = [vm.name for vm in deployment.topology.entries]
        self._watched_key = generate_caller_key()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._call_until_stopped,
                args=(f"c{n}", accounts[n % len(accounts)], Random(seed * 1000 + n)),
            )
            for n in range(callers)
        ]
        self._threads += [
            threading.Thread(target=self._watch_until_stopped),
            threading.Thread(target=self._change_until_stopped),
        ]

    def start(self) -> None:
        if not self._put_number(0):
            raise AssertionError("the first change was not accepted")
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def number_at(self, entry: str) -> int | None:
        """Return the newest configuration number at ``entry``, if it answers."""
        answer = self._send(
            entry, "/v1/models", key=self._watched_key, seconds=CALL_SECONDS
        )
        if answer.status != 200:
            return None
        numbers = [model["id"].removeprefix("m") for model in answer.json()["data"]]
        return max(int(number) for number in numbers)

    def _call_until_stopped(
        self, caller: str, account: CallerAccount, rng: Random
    ) -> None:
        number = 0
        while not self._stopping.is_set():
            number += 1
            name = f"s{self._seed}.{account.name}.{caller}-{number}"
            kind: CallKind = rng.choice(("chat", "stream", "book", "book"))
            for _ in range(MAX_SENDS):
                if not self._send_once(
                    kind, account, name, self._entry_for(account, rng)
                ):
                    break
                time.sleep(PAUSE_SECONDS)
            time.sleep(PAUSE_SECONDS)

    def _entry_for(self, account: CallerAccount, rng: Random) -> str:
        entries = self._deployment.topology.entries
        if rng.random() < ANY_ENTRY_SHARE:
            return rng.choice(entries).name
        return rng.choice([vm for vm in entries if vm.region in account.regions]).name

    def _send_once(
        self, kind: CallKind, account: CallerAccount, name: str, entry: str
    ) -> bool:
        """Send one request; return whether its caller would resend it."""
        request_id = uuid.uuid4().hex
        headers = {"X-Request-Id": request_id}
        fields: Mapping[str, Any] = {"bin": "B7"}
        path = "/svc/depot/bookings"
        if kind == "book":
            headers["Idempotency-Key"] = name
        else:
            path = "/v1/chat/completions"
            messages = [{"role": "user", "content": name}]
            fields = {"model": "corn-7b", "messages": messages, "max_tokens": 12}
            fields = {**fields, "stream": kind == "stream"}
        started = time.monotonic()
        answer = self._send(
            entry, path, fields, key=account.key, headers=headers, seconds=CALL_SECONDS
        )
        ended = time.monotonic()
        call = Call(
            request_id=request_id,
            kind=kind,
            account=account.name,
            name=name,
            entry=entry,
            started=started,
            ended=ended,
            status=answer.status,
            body=answer.body,
            fields=fields,
        )
        self.history.add_call(call)
        return answer.status in (0, 403) or answer.status >= 409

    def _watch_until_stopped(self) -> None:
        while not self._stopping.wait(WATCH_PAUSE_SECONDS):
            for entry in self._entries:
                started = time.monotonic()
                number = self.number_at(entry)
                if number is not None:
                    reading = VersionReading(entry, started, time.monotonic(), number)
                    self.history.add_version_reading(reading)

    def _change_until_stopped(self) -> None:
        number = 0
        while not self._stopping.wait(OPERATOR_PAUSE_SECONDS):
            number += 1
            if self._put_number(number):
                self.accepted_number = number

    def _put_number(self, number: int) -> bool:
        region = self._deployment.topology.entries[0].region
        self._deployment.operate("model", "put", f"m{number}", check=False)
        rows = self._deployment.operate(
            "account",
            "put",
            WATCHED_ACCOUNT,
            f"--home_region={region}",
            f"--regions={region}",
            f"--models=m{number}",
            f"--key_hashes={hash_caller_key(self._watched_key)}",
            check=False,
        )
        return isinstance(rows, list) and rows[0]["status"] == "accepted"


def put_account(deployment: Deployment, account: CallerAccount) -> None:
    """Create ``account`` with the model and service of the workload."""
    deployment.operate(
        "account",
        "put",
        account.name,
        f"--home_region={account.home_region}",
        f"--regions={','.join(account.regions)}",
        "--models=corn-7b",
        "--services=depot",
        f"--key_hashes={hash_caller_key(account.key)}",
    )


def count_outcomes(calls: Sequence[Call]) -> str:
    """Return the number of calls by kind and outcome as JSON, to print for a run."""
    counts: dict[str, int] = {}
    for call in calls:
        outcome = call.error.get("type", str(call.status))
        counts[f"{call.kind} {outcome}"] = counts.get(f"{call.kind} {outcome}", 0) + 1
    return json.dumps(dict(sorted(counts.items())))
