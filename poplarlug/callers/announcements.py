"""HTTP endpoint for upstreams' announcements."""

import re
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from poplarlug.callers.responses import error_response
from poplarlug.errors import GatewayError, bad_request, not_run
from poplarlug.membership.sharing import Membership
from poplarlug.membership.upstreams import LEASE_SECONDS, Announcement

MAX_ANNOUNCEMENT_BYTES = 64 * 1024
MAX_NAMES = 64
MAX_NAME_LENGTH = 128
MAX_COUNTER = 1 << 62
MAX_CACHE_EVENTS = 4096
COUNTER_FIELDS = (
    "incarnation",
    "sequence",
    "running",
    "queued",
    "capacity",
    "cache_sequence",
    "prefill_tokens_per_second",
    "token_seconds",
)
SHARED_WAIT_SECONDS = 0.5
UNSHARED_WAIT_SECONDS = LEASE_SECONDS + 1.0

_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_ADDRESS_PATTERN = re.compile(r"[0-9A-Fa-f.:\[\]]{3,45}:[0-9]{1,5}")


class AnnouncementHandler:
    """
    Serve ``POST /v1/upstreams``.

    ``wait_seconds`` in the response is how long a leaving upstream must keep serving:
    until then, an entry that has not yet learned of it may still send requests.

    Parameters
    ----------
    accepts : callable
        Returns whether this entry accepts announcements now.
    """

    def __init__(self, *, membership: Membership, accepts: Callable[[], bool]) -> None:
        self._membership = membership
        self._accepts = accepts

    async def serve(self, request: web.Request) -> web.Response:
        if not self._accepts():
            error = not_run("This entry takes no announcements now; ask another.", 1.0)
            return error_response(error, "")
        if (request.content_length or 0) > MAX_ANNOUNCEMENT_BYTES:
            return error_response(bad_request("The announcement is too long."), "")
        try:
            announcement = parse_announcement(await request.read())
        except (msgspec.DecodeError, msgspec.ValidationError, KeyError) as error:
            message = f"The body is no announcement: {error}."
            return error_response(bad_request(message), "")
        outcome = await self._membership.announce(announcement)
        if not outcome.taken:
            return error_response(_stale(announcement), "")
        wait = SHARED_WAIT_SECONDS if outcome.shared else UNSHARED_WAIT_SECONDS
        return web.json_response(
            {"taken": True, "shared": outcome.shared, "wait_seconds": wait}
        )


def parse_announcement(data: bytes) -> Announcement:
    """
    Decode and validate an announcement from a JSON body.

    Raises
    ------
    msgspec.ValidationError, msgspec.DecodeError, KeyError
        When the body is not a valid announcement; the message states the problem.
    """
    body = msgspec.json.decode(data, type=dict[str, Any])
    unknown = set(body) - set(Announcement._fields)
    if unknown:
        raise msgspec.ValidationError(f"unknown keys {sorted(unknown)}")
    defaults = Announcement._field_defaults
    values = [
        body[name] if name in body else defaults[name] for name in Announcement._fields
    ]
    announcement = msgspec.convert(values, Announcement)
    _check(announcement)
    return announcement


def _check(announcement: Announcement) -> None:
    if not _ID_PATTERN.fullmatch(announcement.id):
        raise msgspec.ValidationError(
            f"got id {announcement.id!r}, expected 1 to 128 letters, digits, '._:-'"
        )
    if not _ADDRESS_PATTERN.fullmatch(announcement.address):
        raise msgspec.ValidationError(
            f"got address {announcement.address!r}, expected an IP number and a port"
        )
    for names in (announcement.models, announcement.services):
        if len(names) > MAX_NAMES or any(len(n) > MAX_NAME_LENGTH for n in names):
            raise msgspec.ValidationError(
                f"expected at most {MAX_NAMES} names of {MAX_NAME_LENGTH} characters"
            )
    events = len(announcement.cache_stored) + len(announcement.cache_removed)
    if events > MAX_CACHE_EVENTS:
        raise msgspec.ValidationError(
            f"got {events} cache events, expected at most {MAX_CACHE_EVENTS}"
        )
    for name in COUNTER_FIELDS:
        value = getattr(announcement, name)
        if not 0 <= value < MAX_COUNTER:
            raise msgspec.ValidationError(f"got {name} {value}, expected 0 or more")


def _stale(announcement: Announcement) -> GatewayError:
    return GatewayError(
        409,
        "stale_announcement",
        f"Upstream {announcement.id!r} announced something newer, or this incarnation "
        "has left; announce with a larger incarnation after a restart.",
    )
