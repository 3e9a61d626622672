"""Base class of the tests that run real processes."""

import json
import signal
import tempfile
import urllib.error
import urllib.request
from collections.abc import Mapping
from http.client import HTTPException
from pathlib import Path
from typing import Any, ClassVar, NamedTuple
from unittest import TestCase

from examples.deployment import Deployment, wait_until
from poplarlug.soak.proxy import FaultProxy

CALL_SECONDS = 30.0


class Answer(NamedTuple):
    """An answer to a caller; status 0 means that the connection broke."""

    status: int
    body: bytes
    headers: Mapping[str, str]

    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def error_type(self) -> str:
        return self.json()["error"]["type"] if self.status >= 400 else ""


class ProcessTestCase(TestCase):
    """A deployment behind a fault-injecting proxy, shared by the tests of a class."""

    entries_per_zone: ClassVar[int] = 1
    link_upstreams: ClassVar[bool] = False
    deployment: ClassVar[Deployment]
    proxy: ClassVar[FaultProxy]

    @classmethod
    def setUpClass(cls) -> None:
        cls._folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls._folder.cleanup)
        cls.proxy = FaultProxy()
        cls.addClassCleanup(cls.proxy.close)
        cls.deployment = Deployment(
            folder=Path(cls._folder.name),
            entries_per_zone=cls.entries_per_zone,
            link=cls.proxy.link,
            link_upstreams=cls.link_upstreams,
        )
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start_control()
        cls.deployment.start_entries()
        cls.start_upstreams()
        cls.deployment.wait_ready([vm.name for vm in cls.deployment.topology.control])
        cls.deployment.configure()
        cls.deployment.wait_ready()

    @classmethod
    def start_upstreams(cls) -> None:
        """Start the class's upstreams; none by default."""

    def kill_and_start_all(self) -> None:
        """Kill all daemons at the same moment, as a loss of power does."""
        names = list(self.deployment.processes_by_name)
        for name in names:
            self.deployment.signal(name, signal.SIGKILL)
        for name in names:
            self.deployment.processes_by_name[name].wait()
        for name in names:
            self.deployment.start(name)

    def entry(self, name: str) -> str:
        """Return the HTTP address of an entry."""
        vm = self.deployment.topology.entry(name)
        assert vm is not None
        return vm.http

    def call(
        self,
        entry: str,
        path: str,
        body: Any = None,
        *,
        key: str | None = None,
        headers: Mapping[str, str] | None = None,
        seconds: float = CALL_SECONDS,
    ) -> Answer:
        """Send a caller's request to the entry VM ``entry``."""
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://{self.entry(entry)}{path}",
            data=data,
            headers={
                "Authorization": f"Bearer {key or self.deployment.key}",
                "Content-Type": "application/json",
                **(headers or {}),
            },
        )
        try:
            with urllib.request.urlopen(request, timeout=seconds) as response:
                return Answer(response.status, response.read(), response.headers)
        except urllib.error.HTTPError as error:
            return Answer(error.code, error.read(), error.headers)
        except (OSError, ValueError, HTTPException) as error:
            return Answer(0, repr(error).encode(), {})

    def chat(self, entry: str, prompt: str, **fields: Any) -> Answer:
        """Request a completion of ``prompt``; ``fields`` are added to the body."""
        body = {
            "model": "corn-7b",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": 4,
            **fields,
        }
        return self.call(entry, "/v1/chat/completions", body)

    def book(self, entry: str, booking: str, **arguments: Any) -> Answer:
        """Book a pickup under the idempotency key ``booking``."""
        headers = {"Idempotency-Key": booking}
        return self.call(
            entry, "/svc/depot/bookings", {"bin": "B7"}, headers=headers, **arguments
        )

    def wait_for_upstreams(self, entry: str, prompt: str = "ready?") -> None:
        """Wait until a completion through ``entry`` succeeds."""
        wait_until(
            lambda: self.chat(entry, prompt).status == 200, f"{entry} has no upstream"
        )
