"""Tests of log lines and error bodies with a caller's undecodable non-ASCII bytes."""

import json
from unittest import TestCase

from poplarlug.errors import GatewayError, to_body
from poplarlug.logs import _encode

NON_ASCII_PATH = b"/caf\xe9".decode("utf-8", "surrogateescape")


class OddBytesTests(TestCase):
    def test_log_line_is_written_all_the_same(self) -> None:
        """A request that has run must not fail because of its log line."""
        # Guards against status 500 for a request whose id contained such bytes.
        line = _encode({"path": NON_ASCII_PATH, "odd": {1, 2}})
        self.assertEqual(json.loads(line)["path"], NON_ASCII_PATH)

    def test_error_body_is_written_all_the_same(self) -> None:
        """An error message may contain the caller's path."""
        body = to_body(GatewayError(404, "no_route", f"no route has {NON_ASCII_PATH}"))
        self.assertIn("no route has", json.loads(body)["error"]["message"])
