"""Options, client and exit codes that all commands share."""

import sys
from pathlib import Path
from typing import Any, NamedTuple, NoReturn

from returns.result import Failure

from poplarlug.keys import check_secret_file
from poplarlug.operators.client import ClientError, OperatorClient, TlsOptions
from poplarlug.operators.output import OutputFormat

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_UNKNOWN = 5

SERVERS_VARIABLE = "POPLARLUG_SERVERS"
KEY_FILE_VARIABLE = "POPLARLUG_KEY_FILE"
CA_FILE_VARIABLE = "POPLARLUG_CA_FILE"

_UNREACHABLE_CODES = ("UNAVAILABLE", "DEADLINE_EXCEEDED")


class SessionOptions(NamedTuple):
    """Options given before the command; see the class ``Commands``."""

    servers: tuple[str, ...]
    key_file: str
    output: OutputFormat
    ca_file: str = ""
    server_name: str = ""
    change_id: str = ""
    wait_seconds: float = 0.0


class Session:
    """One invocation of the client."""

    def __init__(self, *, options: SessionOptions) -> None:
        self.options = options
        self._client: OperatorClient | None = None

    def client(self) -> OperatorClient:
        """Return the client; the first call validates the options."""
        if self._client is None:
            self._client = self._open()
        return self._client

    def call(self, method: Any, request: Any) -> Any:
        """Call a gRPC method and return its reply, or exit."""
        return unwrap_or_exit(self.client().call(method, request))

    def _open(self) -> OperatorClient:
        options = self.options
        if not options.servers or not options.key_file:
            fail(
                EXIT_USAGE,
                f"set --servers and --key_file, or {SERVERS_VARIABLE} and "
                f"{KEY_FILE_VARIABLE}",
            )
        problem = check_secret_file(Path(options.key_file))
        if problem:
            fail(EXIT_USAGE, f"key file {options.key_file} {problem}")
        try:
            key = Path(options.key_file).read_text().strip()
            tls = None
            if options.ca_file:
                tls = TlsOptions(options.ca_file, options.server_name)
            return OperatorClient(servers=options.servers, key=key, tls=tls)
        except OSError as error:
            fail(EXIT_USAGE, f"a file can't be read: {error}")


def fail(code: int, message: str) -> NoReturn:
    """Print ``message`` to standard error and exit with ``code``."""
    print(message, file=sys.stderr)
    raise SystemExit(code)


def unwrap_or_exit(result: Any) -> Any:
    """Return the value of a ``Result``, or exit with the error's code."""
    if not isinstance(result, Failure):
        return result.unwrap()
    error: ClientError = result.failure()
    code = EXIT_UNREACHABLE if error.code in _UNREACHABLE_CODES else EXIT_REFUSED
    fail(code, f"{error.code}: {error.message}")


def split(value: Any) -> tuple[str, ...]:
    """Return the items of a comma-separated list from the command line."""
    if isinstance(value, list | tuple):
        return tuple(str(item) for item in value)
    return tuple(part for part in str(value).split(",") if part)
