"""Tests of odd entries among upstreams' heartbeats, with real processes on loopback."""

import json
import time
from collections import Counter
from itertools import count
from threading import Event, Thread
from typing import Any

from tests.platform_adapter.case import DeploymentTestCase
from tests.platform_adapter.test_whole_path import configuration

LARGE_TEXT = "v" * 9_000_000
"""Two of them exceed what fits into one message between processes."""

ANNOUNCEMENTS_SECONDS = 10.0
CALLS_PER_ENTRY = 16
ODD_ADDRESSES = (
    "127.0.0.1:0000000080999",
    "fe80::1%\x00:80",
    "]]127.0.0.1[[:80",
    "::1:80",
)


class OddEntryTests(DeploymentTestCase):
    """Two entries and one upstream in Quito; a control replica in each zone."""

    def setUp(self) -> None:
        super().setUp()
        self.keep_announcing(self.add_upstream("u-1"))
        self.configure(look={"route_kind": "safe"})
        self.wait_served()

    def announce(self, upstream_id: str, **fields: Any) -> int:
        """Send the heartbeat of another writer; return the status of the answer."""
        heartbeat = {
            "service": "desk",
            "address": f"{self.deployment.ip('odd')}:9",
            "zone": "quito-a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 5,
        }
        body = json.dumps(heartbeat | fields).encode()
        path = f"/instances/{upstream_id}"
        return self.deployment.operate("PUT", path, body).status

    # Guards against a control group without a leader, and entries without a list,
    # because two odd entries are larger than a message between processes may be.
    def test_large_entries_dont_keep_processes_from_the_list(self) -> None:
        """While they are announced, an entry restarts and a configuration is set."""
        self.keep_announcing_large_entries()
        time.sleep(ANNOUNCEMENTS_SECONDS)
        restarted = self.entries[1]
        self.deployment.kill(restarted)
        self.deployment.start(restarted)
        self.wait_served()
        body = configuration(2, look={"route_kind": "safe"})
        self.assertEqual(self.deployment.operate("PUT", "/config", body).status, 200)
        self.assertEqual(self.announce("odd", version=LARGE_TEXT), 413)
        self.assertEqual(self.announce("i" * 5000), 400)
        for upstream_id in ("i" * 5000, "%00", "a%0Ab"):
            path = f"/instances/{upstream_id}"
            self.assertEqual(self.deployment.operate("DELETE", path).status, 400)

    def keep_announcing_large_entries(self) -> None:
        """Send heartbeats of two large entries until the test ends."""
        stopped = Event()

        def announce() -> None:
            for sequence in count(1):
                for number in range(2):
                    self.announce(
                        f"odd-{number}",
                        service="other",
                        address=f"{self.deployment.ip('odd')}:{number + 1}",
                        version=LARGE_TEXT,
                        sequence=sequence,
                    )
                if stopped.wait(1.0):
                    return

        writer = Thread(target=announce)
        writer.start()
        self.addCleanup(writer.join)
        self.addCleanup(stopped.set)

    # Guards against callers with status 502 because an odd entry of the list stands
    # beside the sound ones.
    def test_odd_addresses_cost_no_caller_an_answer(self) -> None:
        """No request is sent to an address that none can have."""
        statuses = []
        for number, address in enumerate(ODD_ADDRESSES):
            statuses.append(self.announce(f"odd-{number}", address=address))
            time.sleep(0.5)
            answers = Counter(
                self.call(entry, "look").status
                for _ in range(CALLS_PER_ENTRY)
                for entry in self.entries
            )
            self.assertEqual(set(answers), {200}, (address, answers))
        self.assertEqual(statuses, [400] * len(ODD_ADDRESSES))

    # Guards against status 500, after which an operator sends the same again.
    def test_odd_orders_of_an_operator_are_refused(self) -> None:
        """Numbers that can't be passed on, and zones that no name can have."""
        table = json.loads(configuration(2, look={"route_kind": "safe"}))
        for version in (2**63, 2**64, 10**400):
            body = json.dumps(table | {"version": version}).encode()
            answer = self.deployment.operate("PUT", "/config", body)
            self.assertEqual(answer.status, 400, version)
        for zone in ("%00", "a%0Ab", "z" * 5000):
            for method in ("POST", "DELETE"):
                answer = self.deployment.operate(method, f"/evacuations/{zone}")
                self.assertEqual(answer.status, 400, zone[:10])
        self.wait_served()
