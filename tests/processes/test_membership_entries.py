"""Tests of entries that are killed, frozen, stopped or cut off."""

import signal
import threading
import time
from typing import Any

from examples.deployment import wait_until
from poplarlug.soak.proxy import LinkMode
from tests.processes.case import Answer, ProcessTestCase
from tests.processes.counting_upstream import CountingUpstream

FREEZE_SECONDS = 6.0
STREAMS = 8


class EntryFaultTests(ProcessTestCase):
    entries_per_zone = 3

    @classmethod
    def start_upstreams(cls) -> None:
        slow = "--token_seconds=0.05"
        cls.deployment.start_engine("e1", "quito-a", "corn-7b", slow)
        cls.deployment.start_engine("e2", "cuenca-a", "corn-7b")

    def setUp(self) -> None:
        self.wait_until_listed("quito-a-1", "quito-a-1", "quito-a-2", "quito-a-3")
        self.wait_for_upstreams("quito-a-1")

    def tearDown(self) -> None:
        self.proxy.heal()

    def listed(self, entry: str) -> set[str]:
        answer = self.call(entry, "/v1/directory")
        return {e["name"] for e in answer.json()["entries"]}

    def wait_until_listed(self, entry: str, *names: str) -> None:
        wait_until(lambda: set(names) <= self.listed(entry), f"{names} not listed")

    def wait_until_gone(self, entry: str, *names: str) -> None:
        wait_until(
            lambda: not set(names) & self.listed(entry), f"{entry} lists {names}"
        )

    def upstream(self) -> CountingUpstream:
        upstream = CountingUpstream(
            upstream_id="counting",
            address=self.deployment.address(),
            entry=self.entry("quito-a-1"),
        )
        self.addCleanup(upstream.close)
        return upstream

    def test_killed_entry_leaves_the_directory_and_returns(self) -> None:
        """Entries of its own and of other zones don't list it until it is back."""
        self.wait_until_listed("cuenca-a-1", "quito-a-2")
        self.deployment.kill("quito-a-2")
        self.wait_until_gone("quito-a-1", "quito-a-2")
        self.wait_until_gone("cuenca-a-1", "quito-a-2")
        self.assertEqual(self.chat("quito-a-1", "meanwhile").status, 200)
        self.deployment.start("quito-a-2")
        self.wait_until_listed("cuenca-a-1", "quito-a-2")
        self.assertEqual(self.chat("quito-a-2", "afterwards").status, 200)

    def test_resumed_entry_restores_no_stale_state(self) -> None:
        """No request reaches an upstream that left while an entry was frozen."""
        upstream = self.upstream()
        frozen = "quito-a-3"
        wait_until(lambda: self.chat(frozen, "x") and upstream.served, "not used")
        upstream.stop_renewing()
        upstream.sequence += 10
        self.deployment.signal(frozen, signal.SIGSTOP)
        # No messages of its peers are queued in its sockets meanwhile.
        self.proxy.isolate(frozen)
        try:
            upstream.announce("leaving")
            # Older announcements, queued in the frozen entry's sockets meanwhile.
            older = upstream.sequence - 5
            waiting = [
                threading.Thread(target=self.announce_late, args=(upstream, older + n))
                for n in range(3)
            ]
            for thread in waiting:
                thread.start()
            time.sleep(0.3)
            asking, answers = self.ask_in_background(frozen, 10, max_tokens=20)
            time.sleep(FREEZE_SECONDS)
            served = upstream.served
        finally:
            self.proxy.heal()
            self.deployment.signal(frozen, signal.SIGCONT)
        for thread in (*asking, *waiting):
            thread.join()
        for number in range(20):
            self.chat(frozen, f"after {number}", max_tokens=1)
            self.chat("quito-a-1", f"after {number}", max_tokens=1)
        self.assertEqual(upstream.served, served)
        self.assertLessEqual({a.status for a in answers}, {200, 503})
        wait_until(lambda: self.chat(frozen, "again").status == 200, "not back")

    def announce_late(self, upstream: CountingUpstream, sequence: int) -> None:
        entry = self.entry("quito-a-3")
        upstream.announce("serving", entry=entry, sequence=sequence, seconds=30)

    def ask_in_background(
        self, entry: str, count: int, **fields: Any
    ) -> tuple[list[threading.Thread], list[Answer]]:
        """Start ``count`` callers of ``entry``; the list collects their answers."""
        answers: list[Answer] = []

        def ask(number: int) -> None:
            answers.append(self.chat(entry, f"caller {number}", **fields))

        threads = [threading.Thread(target=ask, args=(n,)) for n in range(count)]
        for thread in threads:
            thread.start()
        return threads, answers

    def test_malformed_ids_and_paths_get_typed_errors(self) -> None:
        """A request id that is too long or malformed or an unknown path is refused."""
        path = "/v1/models"
        self.assertEqual(self.call("quito-a-1", path).status, 200)
        for request_id in ("x" * 129, "a b", "a;b"):
            answer = self.call(
                "quito-a-1",
                "/v1/chat/completions",
                {},
                headers={"X-Request-Id": request_id},
            )
            self.assertEqual(answer.status, 400)
            self.assertIn("X-Request-Id", answer.json()["error"]["message"])
        unknown = self.call("quito-a-1", "/v1/none")
        self.assertEqual((unknown.status, unknown.error_type), (404, "not_found"))

    def test_one_way_cut_between_two_entries_kills_neither(self) -> None:
        """The third entry's probes keep both in the directory."""
        self.proxy.set_mode(
            LinkMode.LOSE_THERE,
            matching=lambda s, t: (s, t) == ("quito-a-1", "quito-a-2"),
        )
        for _ in range(16):
            time.sleep(0.25)
            for entry in ("quito-a-1", "quito-a-3"):
                self.assertIn("quito-a-2", self.listed(entry))

    def test_cut_off_zone_is_dropped_and_serves_on(self) -> None:
        """Other zones drop a cut-off zone; the zone keeps serving its own callers."""
        own = ("quito-a-1", "quito-a-2", "quito-a-3")
        self.wait_until_listed("cuenca-a-1", *own)
        self.proxy.isolate(*own, "control-quito-a")
        self.wait_until_gone("cuenca-a-1", *own)
        self.assertEqual(self.chat("quito-a-1", "cut off").status, 200)
        wait_until(
            lambda: self.listed("quito-a-1") == set(own), "lists zones out of reach"
        )
        self.proxy.heal()
        self.wait_until_listed("cuenca-a-1", *own)

    def test_stopped_entry_cuts_no_stream(self) -> None:
        """After SIGTERM under load it is unlisted, finishes streams, exits with 0."""
        stopped = "quito-a-2"
        wait_until(lambda: self.chat(stopped, "y").status == 200, "not ready")
        asking, answers = self.ask_in_background(
            stopped, STREAMS, stream=True, max_tokens=100
        )
        time.sleep(1.0)
        self.deployment.signal(stopped, signal.SIGTERM)
        self.wait_until_gone("quito-a-1", stopped)
        refused = self.chat(stopped, "too late")
        self.assertIn(refused.error_type if refused.status else "", ("not_run", ""))
        self.assertTrue(any(thread.is_alive() for thread in asking))
        for thread in asking:
            thread.join()
        self.assertEqual([a.status for a in answers], [200] * STREAMS)
        for answer in answers:
            self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"))
            self.assertEqual(answer.body.count(b"data: "), 101)
        process = self.deployment.processes_by_name[stopped]
        self.assertEqual(process.wait(30), 0)
        self.deployment.start(stopped)
