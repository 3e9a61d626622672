"""Tests that a process writes nothing but log lines."""

import json
import subprocess
import sys
from unittest import TestCase

PROGRAM = """
import asyncio, logging, threading, warnings
from poplarlug.logs import configure_logs
configure_logs(log_format="json", level="info")
warnings.warn("odd")
async def main():
    asyncio.get_running_loop().call_soon(lambda: 1 / 0)
    await asyncio.sleep(0.01)
asyncio.run(main())
try:
    raise RuntimeError("Session is closed")
except RuntimeError:
    logging.getLogger("aiohttp.server").exception("failed %s", "once")
thread = threading.Thread(target=lambda: [][0])
thread.start()
thread.join()
class Finalized:
    def __del__(self):
        {}["gone"]
Finalized()
raise SystemError("the end")
"""
MALFORMED = """
import logging
from aiohttp.http_exceptions import BadHttpMessage
from poplarlug.logs import configure_logs
configure_logs(log_format="json", level="info")
try:
    raise BadHttpMessage("Bad header")
except BadHttpMessage:
    logging.getLogger("aiohttp.server").exception("Error handling request")
"""
LIBRARIES = ("py.warnings", "asyncio", "aiohttp.server")
ERRORS = ("ZeroDivision", "Session is closed", "IndexError", "KeyError", "the end")


class LogTests(TestCase):
    # Guards against malformed requests that crowd out the lines of faults.
    def test_malformed_request_is_no_error_of_this_process(self) -> None:
        """Its line is as short as that of any other request."""
        done = subprocess.run(
            [sys.executable, "-c", MALFORMED], capture_output=True, check=True
        )
        line = json.loads(done.stdout)
        self.assertEqual(line["level"], "info")
        self.assertIn("Bad header", line["reason"])
        self.assertNotIn("exception", line)

    # Guards against tracebacks in a log, which name no request, time or level.
    def test_what_libraries_and_errors_write_are_log_lines(self) -> None:
        """Each has an event and a level, and its traceback in a field."""
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM], capture_output=True, check=False
        )
        self.assertEqual((done.returncode, done.stderr), (1, b""))
        lines = [json.loads(line) for line in done.stdout.splitlines()]
        names = [line["event"].partition(":")[0] for line in lines]
        self.assertEqual(names, [*LIBRARIES, "process", "process", "process"])
        levels = [line["level"] for line in lines]
        self.assertEqual(levels, ["warning", *["error"] * len(ERRORS)])
        for line, error in zip(lines[1:], ERRORS, strict=True):
            self.assertIn(error, line["exception"])
