"""Tests of callers' keys that were withdrawn, through restarts of all processes."""

import signal
import time

from examples.deployment import wait_until
from poplarlug.keys import generate_caller_key, hash_caller_key
from tests.processes.case import ProcessTestCase

ACCOUNT = "verde"
WATCHED_SECONDS = 5.0
"""Longer than an entry takes to ask all others for the version that they hold."""


class WithdrawnKeyTests(ProcessTestCase):
    def replace_key(self) -> str:
        """Give the account another key and return the withdrawn one."""
        withdrawn = self.deployment.key
        self.deployment.key = generate_caller_key()
        listed = self.deployment.operate("account", "list")
        version = next(row["version"] for row in listed if row["name"] == ACCOUNT)
        regions = dict.fromkeys(vm.region for vm in self.deployment.topology.entries)
        self.deployment.operate(
            "account",
            "put",
            ACCOUNT,
            f"--home_region={next(iter(regions))}",
            f"--regions={','.join(regions)}",
            "--models=corn-7b",
            "--services=depot",
            f"--key_hashes={hash_caller_key(self.deployment.key)}",
            f"--expected_version={version}",
        )
        return withdrawn

    def statuses(self, entry: str, key: str) -> set[int]:
        """Return the statuses of three requests, none of which reaches an upstream."""
        body = {"model": "no-such-model", "messages": []}
        return {
            self.call(entry, "/v1/models", key=key).status,
            self.call(entry, "/v1/chat/completions", body, key=key).status,
            self.call(entry, "/v1/directory", key=key).status,
        }

    # Guards against withdrawn keys that were accepted again.
    def test_withdrawn_key_stays_so_when_all_processes_were_killed(self) -> None:
        """Refused from each entry's first answer on, even if a replica missed it."""
        entries = [vm.name for vm in self.deployment.topology.entries]
        frozen_replica = self.deployment.topology.control[-1].name
        self.deployment.signal(frozen_replica, signal.SIGSTOP)
        withdrawn = self.replace_key()
        for entry in entries:
            wait_until(
                lambda entry=entry: (
                    401 not in self.statuses(entry, self.deployment.key)
                ),
                f"{entry} does not know the new key",
            )
            self.assertEqual(self.statuses(entry, withdrawn), {401})
        self.kill_and_start_all()
        until = time.monotonic() + WATCHED_SECONDS
        seen_by_key: dict[str, set[int]] = {
            withdrawn: set(),
            self.deployment.key: set(),
        }
        while time.monotonic() < until:
            for key, seen in seen_by_key.items():
                for entry in entries:
                    seen.update(self.statuses(entry, key))
        self.assertLessEqual(seen_by_key[withdrawn], {0, 401, 503})
        self.assertIn(401, seen_by_key[withdrawn])
        self.assertNotIn(401, seen_by_key[self.deployment.key])
        self.deployment.wait_ready()
