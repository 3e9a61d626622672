"""Validation of records from upstreams, other processes and files."""

from prometheus_client import Counter

from poplarlug.addresses import is_address
from poplarlug.discovery.messages import WaitingCount
from poplarlug.discovery.records import (
    EntryRecord,
    ServiceUpstream,
    UpstreamLoad,
)
from poplarlug.discovery.room import MAX_ROOM, MIN_ROOM
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.settings import short_repr
from poplarlug.types import Seconds

MAX_NAME_CHARACTERS = 256
MAX_NUMBER = 2**63
"""Limit of the integers in messages between processes."""

MAX_BORN = 2**53
MAX_SLOTS = 100_000
MAX_LOAD = 2**40
"""Limit of each count of requests, milliseconds or tokens in a load; the sum over all
entries fits into a message."""

MAX_REMAINING_SECONDS = 366 * 86_400.0

_IGNORED = Counter(
    "poplarlug_ignored_records_total",
    "Records and loads that were ignored because a value is invalid.",
    ["kind"],
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="discovery")


def is_name(text: str) -> bool:
    """Return whether ``text`` can name an upstream, a service or a zone."""
    return 0 < len(text) <= MAX_NAME_CHARACTERS and text.isprintable()


def find_problem(record: EntryRecord | ServiceUpstream) -> str | None:
    """Return what is invalid in a record, ``None`` if it is valid."""
    if isinstance(record, EntryRecord):
        return _entry_problem(record)
    return _upstream_problem(record)


def is_valid(record: EntryRecord | ServiceUpstream) -> bool:
    """Return whether a record is valid; log and count it if it isn't."""
    problem = find_problem(record)
    if problem is None:
        return True
    kind = "entry" if isinstance(record, EntryRecord) else "upstream"
    _IGNORED.labels(kind).inc()
    _log.warning("ignored a record", record=short_repr(record.key), problem=problem)
    return False


def is_valid_load(load: UpstreamLoad) -> bool:
    """Return whether a load can be summed; log and count it if it can't."""
    numbers: tuple[int, ...] = load[1:]
    if is_name(load.id) and min(numbers) >= 0 and max(numbers) <= MAX_LOAD:
        return True
    _IGNORED.labels("load").inc()
    _log.warning("ignored a load", upstream=short_repr(load.id), numbers=numbers)
    return False


def is_valid_count(count: WaitingCount) -> bool:
    """Return whether a count can be summed; log and count it if it can't."""
    if is_name(count.service) and 0 <= count.waiting <= MAX_LOAD:
        return True
    _IGNORED.labels("load").inc()
    _log.warning(
        "ignored a load", service=short_repr(count.service), waiting=count.waiting
    )
    return False


def _entry_problem(record: EntryRecord) -> str | None:
    for field in ("name", "region", "zone"):
        if not is_name(getattr(record, field)):
            return _not_a_name(field, getattr(record, field))
    for field in ("http", "forwards"):
        if not is_address(getattr(record, field)):
            return _not_an_address(field, getattr(record, field))
    # False for NaN too.
    if not MIN_ROOM <= record.room <= MAX_ROOM:
        return f"got a room of {record.room:.3g}, expected {MIN_ROOM} to {MAX_ROOM}"
    return _number_problem("incarnation", record.incarnation, MAX_NUMBER)


def _upstream_problem(record: ServiceUpstream) -> str | None:
    if not is_name(record.id):
        return _not_a_name("id", record.id)
    # The record of a deregistration has an id only.
    is_gone = record.phase == "gone"
    for field in ("service", "zone", "version"):
        text = getattr(record, field)
        may_be_empty = is_gone or field == "version"
        if not (is_name(text) or (may_be_empty and not text)):
            return _not_a_name(field, text)
    if not (is_address(record.address) or (is_gone and not record.address)):
        return _not_an_address("address", record.address)
    if not (0 < record.slots <= MAX_SLOTS or (is_gone and record.slots == 0)):
        return f"slots is out of range; expected 1 to {MAX_SLOTS}"
    return (
        _number_problem("born", record.born, MAX_BORN)
        or _number_problem("sequence", record.sequence, MAX_NUMBER)
        or _duration_problem("cold time", record.cold_seconds)
        or _duration_problem("remaining time", record.ends_in_seconds or 0.0)
    )


def _number_problem(field: str, number: int, limit: int) -> str | None:
    if 0 <= number < limit:
        return None
    return f"{field} is out of range; expected 0 or more and less than {limit}"


def _duration_problem(field: str, seconds: Seconds) -> str | None:
    # False for NaN too.
    if 0 <= seconds <= MAX_REMAINING_SECONDS:
        return None
    return f"got a {field} of {seconds:.3g} s, expected 0 to {MAX_REMAINING_SECONDS} s"


def _not_a_name(field: str, text: str) -> str:
    return (
        f"got {field} {short_repr(text)}, expected 1 to {MAX_NAME_CHARACTERS} "
        "printable characters"
    )


def _not_an_address(field: str, text: str) -> str:
    return f"got {field} {short_repr(text)}, expected IP:PORT"
