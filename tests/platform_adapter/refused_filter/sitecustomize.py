"""Loaded at the start of a process that has this folder in its path; refuses filters."""

import errno
import socket
from typing import Any

SO_ATTACH_FILTER = 26

_set_option = socket.socket.setsockopt


def _refuse_filter(sock: socket.socket, level: int, option: int, *values: Any) -> None:
    if level == socket.SOL_SOCKET and option == SO_ATTACH_FILTER:
        raise PermissionError(errno.EPERM, "Operation not permitted")
    _set_option(sock, level, option, *values)


socket.socket.setsockopt = _refuse_filter  # type: ignore[assignment]
