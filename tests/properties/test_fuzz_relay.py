"""Fuzz tests of relay requests, announcements and configurations: no crash."""

import http.client
import json
import socket
import tempfile
import uuid
from collections.abc import Mapping
from contextlib import closing
from pathlib import Path
from typing import Any, ClassVar
from unittest import TestCase

from hypothesis import HealthCheck, given, settings, strategies as st

from poplarlug.platform.names import HEADER_NAMES
from poplarlug.soak.deployment import Answer, SeededDeployment, wait_until
from poplarlug.soak.upstream import Upstream
from tests.platform_adapter.test_whole_path import HOST, ROUTES, configuration
from tests.properties.test_fuzz_callers import arbitrary_json, header_values, texts

CALL_SECONDS = 10.0
RAW_SECONDS = 0.2
PLAIN_STATUSES = (200, 400, 404, 408, 413, 421, 429, 431, 502, 503, 504)
"""Statuses that callers may get; 500 would be an internal error of the entry."""

fuzzing = settings(
    deadline=None,
    max_examples=100,
    suppress_health_check=list(HealthCheck),
)
numbers = (
    st.integers().map(str)
    | st.floats().map(str)
    | st.sampled_from(
        ["", "1e400", "-0", "nan", "\u0663\u0664".encode().decode("latin-1")]
    )
    | header_values
)
known_headers = st.fixed_dictionaries(
    {},
    optional={
        HEADER_NAMES.deadline: numbers,
        HEADER_NAMES.token_counts: numbers
        | st.lists(numbers, max_size=4).map(",".join),
        HEADER_NAMES.prompt_parts: st.lists(
            st.tuples(header_values, numbers).map(":".join), max_size=5
        ).map(",".join),
        HEADER_NAMES.model: header_values,
        HEADER_NAMES.request_id: header_values,
        "Last-Event-Id": numbers,
        "X-Relay-Hops": numbers,
        "X-Relay-Table": numbers,
        "Authorization": header_values,
        "Connection": header_values,
    },
)
beats = st.fixed_dictionaries(
    {},
    optional={
        "service": texts | arbitrary_json,
        "address": texts | arbitrary_json,
        "zone": st.just("quito-a") | arbitrary_json,
        "slots": st.integers() | arbitrary_json,
        "state": st.sampled_from(["ready", "draining"]) | arbitrary_json,
        "cold_left_ms": st.floats() | arbitrary_json,
        "born": st.integers() | arbitrary_json,
        "sequence": st.integers() | arbitrary_json,
        "odd": arbitrary_json,
    },
)


class RelayFuzzTests(TestCase):
    deployment: ClassVar[SeededDeployment]
    upstream: ClassVar[Upstream]

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.deployment = SeededDeployment(
            folder=Path(folder.name), entry_zones=("quito-a",)
        )
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start_all()
        cls.upstream = Upstream(
            upstream_id="u-1",
            ip=cls.deployment.ip("u-1"),
            service="desk",
            zone="quito-a",
        )
        cls.addClassCleanup(cls.upstream.close)
        document = configuration(1, **ROUTES)
        assert cls.deployment.operate("PUT", "/config", document).status == 200
        cls.deployment.wait_ready()

    def setUp(self) -> None:
        self.entry = self.deployment.entry_address(self.deployment.entries[0])
        self.check_served()

    def check_served(self) -> None:
        """Wait until a valid request is answered with 200."""
        self.assertEqual(self.upstream.beat(self.deployment.control_address()), 200)
        headers = {"Host": HOST, HEADER_NAMES.request_id: uuid.uuid4().hex}
        wait_until(
            lambda: (
                self.deployment.call(self.entry, "GET", "/look/1", None, headers).status
                == 200
            ),
            "nothing is served",
        )

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, Any],
    ) -> Answer:
        return self.deployment.call(
            address, method, path, body, headers, seconds=CALL_SECONDS
        )

    @fuzzing
    @given(
        route=st.sampled_from([*ROUTES, "nowhere"]),
        headers=known_headers,
        body=st.binary(max_size=200),
    )
    def test_requests_are_served_or_refused(
        self, route: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Arbitrary headers and bodies never cause an internal error of an entry."""
        encoded = {
            name: value.encode("latin-1", "replace") for name, value in headers.items()
        }
        sent = {
            "Host": HOST,
            HEADER_NAMES.request_id: "r",
            HEADER_NAMES.deadline: "500",
        } | encoded
        try:
            answer = self.call(self.entry, "POST", f"/{route}/1", body, sent)
        except (ValueError, http.client.HTTPException):
            # The HTTP client itself refuses to send the request.
            return
        self.assertIn(answer.status, (0, *PLAIN_STATUSES))
        self.assertNotEqual(answer.status, 500)

    @fuzzing
    @given(data=st.binary(min_size=1, max_size=300))
    def test_bytes_that_are_no_request_are_dropped(self, data: bytes) -> None:
        """Arbitrary bytes break neither the port for callers nor that for entries."""
        for port in (8144, 7661):
            address = (self.deployment.ip(self.deployment.entries[0]), port)
            with closing(socket.create_connection(address, CALL_SECONDS)) as sock:
                sock.settimeout(RAW_SECONDS / 20)
                sock.sendall(data)
                try:
                    sock.recv(4096)
                except OSError:
                    # No response, because the bytes may be an incomplete request.
                    pass

    @fuzzing
    @given(beat=beats, name=st.uuids())
    def test_announcements_are_taken_or_refused(
        self, beat: dict[str, Any], name: uuid.UUID
    ) -> None:
        """Announcements with arbitrary fields are accepted or refused with 400, and
        harm no other upstream."""
        control = self.deployment.control_address()
        body = json.dumps(beat).encode()
        answer = self.call(control, "PUT", f"/instances/{name}", body, {})
        self.assertIn(answer.status, (200, 400))

    @fuzzing
    @given(document=arbitrary_json)
    def test_configurations_are_refused(self, document: Any) -> None:
        """A document that isn't a route table is refused with 400, without effect."""
        control = self.deployment.control_address()
        body = json.dumps(document).encode()
        answer = self.call(control, "PUT", "/config", body, {})
        self.assertEqual(answer.status, 400)

    def tearDown(self) -> None:
        self.check_served()
