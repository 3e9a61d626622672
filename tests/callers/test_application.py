"""Tests of errors that leave the handlers of callers' requests."""

import json
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from aiohttp.test_utils import TestClient, TestServer

from tests.callers.test_cut_bodies import REQUESTS, build_interfaces


class BrokenList(list[object]):
    def append(self, _: object) -> None:
        raise RuntimeError("broken")


class HandlerErrorTests(IsolatedAsyncioTestCase):
    # Guards against callers who got a status 500 of the HTTP library.
    async def test_caller_is_told_of_an_error_of_this_process(self) -> None:
        """The request may have run, and a log line has the error."""
        with patch("poplarlug.callers.application._log") as log:
            server = TestServer(build_interfaces(BrokenList())["account"])
            async with TestClient(server) as caller:
                method, path, body = REQUESTS["account"]
                async with caller.request(method, path, data=body) as response:
                    error = json.loads(await response.read())["error"]
        self.assertEqual((response.status, error["ran"]), (502, None))
        self.assertIsInstance(log.error.call_args.kwargs["exc_info"], RuntimeError)
