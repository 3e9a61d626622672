"""Tests of operators' calls about requests suspected of crashing upstreams."""

from types import SimpleNamespace
from typing import Any, cast
from unittest import IsolatedAsyncioTestCase

from poplarlug.control.suspects_servicer import SuspectsServicer
from poplarlug.discovery.crash_marks import CrashMark, CrashMarks
from poplarlug.discovery.records import UpstreamRun
from poplarlug.schema import operators_pb2 as pb


class SuspectsServicerTests(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        marks = CrashMarks(clock=lambda: 10.0)
        for number in range(3):
            run = UpstreamRun(f"u-{number}", 1)
            marks.add(CrashMark(7, run, alone=number > 0, age_seconds=number))
        marks.add(CrashMark(8, UpstreamRun("u-0", 1)))
        registrar = SimpleNamespace(marks=marks, release=marks.withdraw)
        self.servicer = SuspectsServicer(
            registrar=cast(Any, registrar),
            routing=cast(Any, None),
            group=cast(Any, None),
        )

    async def list(self) -> list[Any]:
        request = pb.GetSuspectsRequest()
        return list((await self.servicer.GetSuspects(request, None)).suspects)

    async def test_suspects_are_listed_with_their_evidence(self) -> None:
        """A request with only one crash is not a suspect."""
        [suspect] = await self.list()
        self.assertEqual(suspect.fingerprint, "r-0000000000000007")
        self.assertEqual(
            (suspect.verdict, suspect.crashes, suspect.alone), ("quarantined", 3, 2)
        )
        self.assertEqual(list(suspect.upstreams), ["u-0", "u-1", "u-2"])
        self.assertEqual((suspect.newest_seconds, suspect.oldest_seconds), (0.0, 2.0))

    async def test_released_request_is_no_longer_listed(self) -> None:
        """Releasing it again finds nothing."""
        request = pb.ReleaseSuspectRequest(fingerprint="r-0000000000000007")
        for crashes in (3, 0):
            reply = await self.servicer.ReleaseSuspect(request, None)
            self.assertEqual(reply.crashes, crashes)
            self.assertEqual(await self.list(), [])

    async def test_malformed_fingerprint_is_refused(self) -> None:
        """The call is aborted with a message that says what is expected."""

        class AbortedError(Exception):
            pass

        class Context:
            async def abort(self, code: object, message: str) -> None:
                raise AbortedError(message)

        for name in ("", "7", "0000000000000007", "r-000000000000000x"):
            request = pb.ReleaseSuspectRequest(fingerprint=name)
            with self.assertRaisesRegex(AbortedError, "as in the list"):
                await self.servicer.ReleaseSuspect(request, Context())
