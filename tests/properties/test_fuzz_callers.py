"""Fuzz tests of an entry's HTTP interface: typed errors and no crash."""

import http.client
import json
import socket
import uuid
from collections.abc import Mapping
from contextlib import closing
from typing import Any

from hypothesis import HealthCheck, example, given, settings, strategies as st

from poplarlug.fakes.ledger import read_ledger
from tests.processes.case import Answer, ProcessTestCase

CALL_SECONDS = 10.0
RAW_SECONDS = 0.2
CHAT = "/v1/chat/completions"
TYPED_STATUSES = (400, 401, 403, 404, 405, 408, 413, 429, 502, 503)
DEEP = b'{"model": "corn-7b", "x": ' + b"[" * 100_000

fuzzing = settings(
    deadline=None,
    max_examples=100,
    suppress_health_check=list(HealthCheck),
)
header_values = st.text(
    st.characters(min_codepoint=32, max_codepoint=255, exclude_characters="\x7f"),
    max_size=60,
)
texts = st.text(max_size=20)
arbitrary_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | texts,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(texts, inner, max_size=4)
    ),
    max_leaves=10,
)
chat_bodies = st.fixed_dictionaries(
    {},
    optional={
        "model": st.just("corn-7b") | arbitrary_json,
        "messages": arbitrary_json,
        "stream": st.booleans() | arbitrary_json,
        "max_tokens": st.integers(0, 8) | arbitrary_json,
        "prompt": arbitrary_json,
    },
)
bodies = (
    st.binary(max_size=100)
    | arbitrary_json.map(lambda value: json.dumps(value).encode())
    | chat_bodies.map(lambda value: json.dumps(value).encode())
)
announcements = st.fixed_dictionaries(
    {},
    optional={
        "id": texts | arbitrary_json,
        "kind": st.sampled_from(["engine", "service"]) | arbitrary_json,
        "address": texts | arbitrary_json,
        "state": st.sampled_from(["serving", "leaving"]) | arbitrary_json,
        "incarnation": st.integers() | arbitrary_json,
        "sequence": st.integers() | arbitrary_json,
        "models": st.lists(st.just("corn-7b") | texts, max_size=3) | arbitrary_json,
        "services": st.lists(texts, max_size=3) | arbitrary_json,
        "running": st.integers() | arbitrary_json,
        "odd": arbitrary_json,
    },
)
addresses = texts | st.sampled_from(
    ["", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "[::1]:1", "x y:1", "a:b"]
)


class CallerFuzzTests(ProcessTestCase):
    @classmethod
    def start_upstreams(cls) -> None:
        cls.deployment.start_engine("e1", "quito-a", "corn-7b")
        cls.deployment.start_service("s1", "quito-a", "depot")

    def setUp(self) -> None:
        self.wait_for_upstreams("quito-a-1")

    def tearDown(self) -> None:
        entry = self.deployment.processes_by_name["quito-a-1"]
        self.assertIsNone(entry.poll(), "the entry has ended")
        self.wait_for_upstreams("quito-a-1", "after the fuzzing")

    def send(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> Answer:
        host, _, port = self.entry("quito-a-1").rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=CALL_SECONDS)
        with closing(connection):
            connection.putrequest(method, path)
            connection.putheader("Content-Length", str(len(body)))
            for name, value in headers.items():
                connection.putheader(name, value.encode("latin-1"))
            connection.endheaders(body)
            response = connection.getresponse()
            return Answer(response.status, response.read(), response.headers)

    def check_refusal(self, answer: Answer) -> dict[str, Any]:
        """Fail unless ``answer`` is a typed error with an expected status."""
        self.assertIn(answer.status, TYPED_STATUSES, answer)
        error: dict[str, Any] = answer.json()["error"]
        self.assertTrue(error["type"] and error["message"], answer)
        self.assertIn("ran", error)
        return error

    def upstream_saw(self, request_id: str) -> bool:
        lines = read_ledger(self.deployment.requests_file("e1"))
        lines += read_ledger(self.deployment.requests_file("s1"))
        return any(line.request_id == request_id for line in lines)

    @fuzzing
    @given(bodies)
    @example(DEEP)
    @example(b'{"model": "corn-7b", "max_tokens": 1e400}')
    @example(b'\xff{"model": "corn-7b"}')
    def test_arbitrary_bodies_get_a_typed_error_or_an_answer(self, body: bytes) -> None:
        """A body is executed, or refused with a typed error before any upstream."""
        request_id = uuid.uuid4().hex
        headers = {
            "Authorization": f"Bearer {self.deployment.key}",
            "X-Request-Id": request_id,
        }
        answer = self.send("POST", CHAT, body, headers)
        # The fake engine answers 500 to errors in fields that only the engine parses.
        if self.upstream_saw(request_id) or answer.status == 500:
            self.assertIn(b"corn-7b", body)
            return
        self.check_refusal(answer)

    @fuzzing
    @given(header_values, header_values, header_values, st.booleans())
    @example("", "\x80", "urgent ", True)
    def test_arbitrary_headers_get_a_typed_error_or_an_answer(
        self, rank: str, key: str, request_id: str, known: bool
    ) -> None:
        """The booking is executed, or refused with a typed error."""
        bearer = self.deployment.key if known else rank
        headers = {
            "Authorization": f"Bearer {bearer}",
            "X-Rank": rank,
            "Idempotency-Key": key,
            "X-Request-Id": request_id,
        }
        answer = self.send("POST", "/svc/depot/bookings", b"{}", headers)
        if answer.status != 200:
            self.check_refusal(answer)

    @fuzzing
    @given(texts, st.sampled_from(["GET", "POST", "PUT", "DELETE", "ODD"]))
    def test_arbitrary_service_paths_get_a_typed_error_or_an_answer(
        self, path: str, method: str
    ) -> None:
        """Any path below a service is forwarded or refused, never answered by 500."""
        headers = {
            "Authorization": f"Bearer {self.deployment.key}",
            "Idempotency-Key": "k",
        }
        quoted = "".join(f"%{byte:02x}" for byte in path.encode())
        answer = self.send(method, f"/svc/depot/{quoted}", b"", headers)
        self.assertNotEqual(answer.status, 500, answer)

    @fuzzing
    @given(st.binary(max_size=300))
    @example(b"POST /v1/upstreams HTTP/1.1\r\nContent-Length: -1\r\n\r\n")
    @example(b"POST /v1/upstreams HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")
    @example(b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 5000 + b"\r\n")
    def test_arbitrary_bytes_leave_the_entry_running(self, data: bytes) -> None:
        """Bytes that aren't HTTP affect only their own connection."""
        host, _, port = self.entry("quito-a-1").rpartition(":")
        with socket.create_connection((host, int(port)), timeout=RAW_SECONDS) as raw:
            try:
                raw.sendall(data)
                raw.shutdown(socket.SHUT_WR)
                answer = raw.recv(100)
            except OSError:
                return
            self.assertNotIn(b" 500 ", answer)

    @fuzzing
    @given(announcements)
    def test_arbitrary_announcements_are_accepted_or_refused(self, body: Any) -> None:
        """An announcement is accepted, or refused with a typed error."""
        data = json.dumps(body).encode()
        answer = self.send("POST", "/v1/upstreams", data, {})
        if answer.status != 200:
            self.check_refusal(answer)

    @settings(fuzzing, max_examples=25)
    @given(addresses, st.integers(-(2**63), 2**63 - 1))
    def test_arbitrary_address_fails_no_request(self, address: str, load: int) -> None:
        """An upstream with an arbitrary address or load causes at most a retry."""
        body = {
            "id": "odd",
            "kind": "engine",
            "address": address,
            "models": ["corn-7b"],
            "incarnation": 1,
            "sequence": 1,
            "running": load,
        }
        self.call("quito-a-1", "/v1/upstreams", body)
        answer = self.chat("quito-a-1", "beside an odd upstream")
        self.assertEqual(answer.status, 200, answer)
