"""Tests that a planned stop interrupts no request in progress."""

import http.client
import json
import time
import uuid
from concurrent.futures import Future, ThreadPoolExecutor

from examples.deployment import wait_until
from poplarlug.fakes.ledger import read_ledger
from tests.processes.case import ProcessTestCase
from tests.processes.history import Call, CallKind, check_complete_answers

CALLS = 12
TOKENS = 50
TOKEN_SECONDS = 0.03
BOOKING_SECONDS = 1.5
SLOW_BODY_SECONDS = 1.0
UPSTREAMS = ("e-quito", "e-cuenca", "s-quito")
CALLERS_ENTRIES = ("quito-a-1", "guayaquil-a-1")


class GracefulStopTests(ProcessTestCase):
    """Quito has an engine and a service; Guayaquil forwards to it."""

    entries_per_zone = 3

    @classmethod
    def start_upstreams(cls) -> None:
        speed = f"--token_seconds={TOKEN_SECONDS}"
        cls.deployment.start_engine("e-quito", "quito-a", "corn-7b", speed)
        cls.deployment.start_service(
            "s-quito", "quito-a", "depot", f"--run_seconds={BOOKING_SECONDS}"
        )

    def setUp(self) -> None:
        for entry in CALLERS_ENTRIES:
            self.wait_for_upstreams(entry)
            wait_until(
                lambda entry=entry: (
                    self.book(entry, f"ready-{uuid.uuid4().hex}").status == 200
                ),
                f"{entry} books nothing",
            )

    def send(self, number: int) -> Call:
        """Stream, chat or book through one of the two entries."""
        kind: CallKind = ("stream", "chat", "book")[number % 3]
        name = f"{self.id().rpartition('.')[2]}-{number}"
        entry = CALLERS_ENTRIES[number // 3 % 2]
        request_id = uuid.uuid4().hex
        headers = {"X-Request-Id": request_id, "Idempotency-Key": name}
        fields = {
            "model": "corn-7b",
            "messages": [{"role": "user", "content": name}],
            "max_tokens": TOKENS,
            "stream": kind == "stream",
        }
        path = "/v1/chat/completions"
        if kind == "book":
            path = "/svc/depot/bookings"
        started = time.monotonic()
        answer = self.call(entry, path, fields, headers=headers)
        return Call(
            request_id=request_id,
            kind=kind,
            account="verde",
            name=name,
            entry=entry,
            started=started,
            ended=time.monotonic(),
            status=answer.status,
            body=answer.body,
            fields=fields,
        )

    def send_all(self, pool: ThreadPoolExecutor) -> list[Future[Call]]:
        """Send all calls and return once all of them run at upstreams."""
        sent = [pool.submit(self.send, number) for number in range(CALLS)]
        test_name = self.id().rpartition(".")[2]
        wait_until(
            lambda: len({n for n in self.names() if test_name in n}) == CALLS,
            "not all calls arrived",
        )
        return sent

    def names(self) -> list[str]:
        return [
            line.name
            for upstream in UPSTREAMS
            for line in read_ledger(self.deployment.requests_file(upstream))
        ]

    def stop_amid_calls(self, name: str) -> None:
        """Stop ``name`` while calls run; all must complete, and it must exit with 0."""
        with ThreadPoolExecutor(CALLS) as pool:
            sent = self.send_all(pool)
            self.assertFalse(any(future.done() for future in sent))
            status = self.deployment.stop(name)
            calls = [future.result() for future in sent]
        self.deployment.start(name)
        self.assertEqual([call.status for call in calls], [200] * CALLS)
        self.assertEqual(check_complete_answers(calls), [])
        self.assertEqual(status, 0)

    def test_entry_finishes_its_callers_and_its_peers_requests(self) -> None:
        """A stopped entry finishes own and forwarded requests, then exits with 0."""
        self.stop_amid_calls("quito-a-1")

    def test_forwarding_entry_finishes_its_callers_requests(self) -> None:
        """A stopped entry whose requests run elsewhere first relays their answers."""
        self.stop_amid_calls("guayaquil-a-1")

    # Guards against requests that are passed on when their body ends within a stop, and
    # are cut at its end.
    def test_body_that_ends_within_a_stop_gets_a_whole_answer_or_a_refusal(
        self,
    ) -> None:
        """The entry waits for the body and its answer, or says that nothing ran."""
        entry = "quito-a-2"
        self.wait_for_upstreams(entry)
        with ThreadPoolExecutor(CALLS) as pool:
            sent = [
                pool.submit(self.send_slowly, entry, number) for number in range(CALLS)
            ]
            time.sleep(SLOW_BODY_SECONDS / 2)
            status = self.deployment.stop(entry)
            ended = [future.result() for future in sent]
        self.deployment.start(entry)
        self.assertEqual(status, 0)
        names = self.names()
        for name, outcome in ended:
            self.assertIn((outcome, names.count(name)), {(200, 1), (503, 0)}, name)

    def send_slowly(self, entry: str, number: int) -> tuple[str, int]:
        """Book with a slow body; return the booking's name and the status, 0 if cut."""
        name = f"slow-{number}-{uuid.uuid4().hex}"
        host, _, port = self.entry(entry).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20.0)
        body = json.dumps({"bin": "B7"}).encode()
        try:
            connection.putrequest("POST", "/svc/depot/bookings")
            connection.putheader("Authorization", f"Bearer {self.deployment.key}")
            connection.putheader("Content-Type", "application/json")
            connection.putheader("Idempotency-Key", name)
            connection.putheader("Content-Length", str(len(body)))
            connection.endheaders(body[:1])
            time.sleep(SLOW_BODY_SECONDS)
            connection.send(body[1:])
            return name, connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return name, 0
        finally:
            connection.close()

    def test_upstream_finishes_what_it_runs(self) -> None:
        """A leaving upstream finishes its streams."""
        self.stop_amid_calls("e-quito")

    def test_control_replicas_stop_beside_running_requests(self) -> None:
        """Stopping a control replica doesn't affect callers."""
        for vm in self.deployment.topology.control:
            with self.subTest(control=vm.name):
                status = self.deployment.stop(vm.name)
                self.assertEqual(status, 0)
                answer = self.chat("guayaquil-a-1", f"beside {vm.name}")
                self.assertEqual(answer.status, 200)
                self.deployment.start(vm.name)
                self.deployment.wait_ready([vm.name])
