"""Commands for requests that were running when upstreams crashed."""

from poplarlug.operators.output import print_rows
from poplarlug.operators.session import EXIT_REFUSED, Session, fail
from poplarlug.schema import operators_pb2 as pb


class SuspectCommands:
    """Suspected requests, which run isolated, and quarantined ones, which don't run."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def list(self) -> None:
        """Show these requests with the crashes counted against each."""
        request = pb.GetSuspectsRequest()
        reply = self._session.call(lambda stub: stub.GetSuspects, request)
        rows = [
            {
                "fingerprint": suspect.fingerprint,
                "verdict": suspect.verdict,
                "crashes": suspect.crashes,
                "alone": suspect.alone,
                "upstreams": [*suspect.upstreams],
                "newest_seconds": round(suspect.newest_seconds, 1),
                "oldest_seconds": round(suspect.oldest_seconds, 1),
            }
            for suspect in reply.suspects
        ]
        print_rows(rows, self._session.options.output)

    def release(self, fingerprint: str) -> None:
        """Allow a request to run again; its crashes so far no longer count."""
        name = str(fingerprint)
        request = pb.ReleaseSuspectRequest(fingerprint=name)
        reply = self._session.call(lambda stub: stub.ReleaseSuspect, request)
        if not reply.crashes:
            fail(EXIT_REFUSED, f"no crash counts against {name!r}; see suspects list")
        row = {"fingerprint": name, "crashes": reply.crashes}
        print_rows([row], self._session.options.output)
