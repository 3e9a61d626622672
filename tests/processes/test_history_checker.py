"""Tests that the history checker finds each kind of violated guarantee."""

import json
from typing import Any
from unittest import TestCase

from poplarlug.fakes.engine import tokens_of
from poplarlug.fakes.ledger import LedgerLine
from tests.processes.history import Call, History, Run, VersionReading, check_history

REGIONS = {"sierra": ["sierra-norte"]}


def run(request_id: str, name: str, region: str = "sierra-norte") -> Run:
    return Run("s1", region, LedgerLine(request_id, name))


class CheckHistoryTests(TestCase):
    def setUp(self) -> None:
        self.history = History()

    def call(self, request_id: str, name: str, **values: Any) -> None:
        fields: dict[str, Any] = {
            "kind": "book",
            "account": "sierra",
            "entry": "quito-a-1",
            "started": 1.0,
            "ended": 2.0,
            "status": 200,
            "body": json.dumps({"booked": name}).encode(),
        }
        self.history.add_call(Call(request_id, name=name, **{**fields, **values}))

    def refuse(self, request_id: str, name: str, status: int, kind: str) -> None:
        body = json.dumps({"error": {"type": kind, "ran": False}}).encode()
        self.call(request_id, name, status=status, body=body)

    def found(self, *runs: Run) -> list[str]:
        return check_history(self.history, runs, REGIONS)

    def test_a_clean_history_breaks_nothing(self) -> None:
        """A refused, then resent booking that ran once is no violation."""
        self.refuse("r1", "key-1", 503, "not_run")
        self.call("r2", "key-1")
        self.assertEqual(self.found(run("r2", "key-1")), [])

    def test_a_key_that_ran_twice_is_found(self) -> None:
        """Two ledger lines with one key are a violation, whatever their request ids."""
        self.call("r1", "key-1")
        found = self.found(run("r1", "key-1"), run("r2", "key-1"))
        self.assertEqual(found, ["key-1 ran 2 times"])

    def test_a_false_not_run_is_found(self) -> None:
        """A request that was reported as not run must be in no ledger."""
        self.refuse("r1", "key-1", 503, "not_run")
        self.assertIn("told not run", self.found(run("r1", "key-1"))[0])

    def test_an_answer_of_another_request_is_found(self) -> None:
        """The answer must carry the tokens of the call's own prompt."""
        other = {"prompt": "other", "max_tokens": 3}
        content = " ".join(tokens_of(other))
        body = json.dumps({"choices": [{"message": {"content": content}}]}).encode()
        fields = {"prompt": "mine", "max_tokens": 3}
        self.call("r1", "mine", kind="chat", body=body, fields=fields)
        self.assertEqual(len(self.found()), 1)
        self.history.calls.clear()
        self.call("r1", "mine", kind="chat", body=body, fields=other)
        self.assertEqual(self.found(), [])

    def test_a_short_stream_is_found(self) -> None:
        """A stream without its last tokens or its end marker is incomplete."""
        fields = {"prompt": "mine", "max_tokens": 2}
        events = [
            "data: " + json.dumps({"choices": [{"delta": {"content": token}}]})
            for token in tokens_of(fields)
        ]
        for lines in (events, [events[0], "data: [DONE]"]):
            body = "\n\n".join(lines).encode()
            self.call("r1", "mine", kind="stream", body=body, fields=fields)
        self.assertEqual(len(self.found()), 2)

    def test_a_run_outside_the_regions_is_found(self) -> None:
        """Each ledger line must lie in a region of the account."""
        self.call("r1", "key-1")
        found = self.found(run("r1", "key-1", "costa"))
        self.assertEqual(found, ["key-1 of sierra ran in costa"])

    def test_a_run_that_nobody_sent_is_found(self) -> None:
        """A ledger line without a call is a violation."""
        self.assertIn("nobody sent", self.found(run("r1", "key-1"))[0])

    def test_a_reverted_configuration_is_found(self) -> None:
        """A known key that is refused, or an older number, indicates a revert."""
        self.refuse("r1", "key-1", 401, "unknown_key")
        self.refuse("r2", "key-2", 403, "region_not_allowed")
        self.history.add_version_reading(VersionReading("quito-a-1", 1.0, 2.0, 7))
        self.history.add_version_reading(VersionReading("quito-a-1", 3.0, 4.0, 6))
        self.history.add_version_reading(VersionReading("quito-a-2", 3.0, 4.0, 6))
        found = self.found()
        expected = [
            "key-1 through quito-a-1: 401 unknown_key",
            "quito-a-1 showed 6 after 7",
        ]
        self.assertEqual(found, expected)
