"""Speeds of a service's engines relative to one another, from what entries measured."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from poplarlug.relay.engine_model import (
    NO_WORK,
    MeasuredWork,
    relative_speed,
    sum_work,
)
from poplarlug.types import Seconds, ServiceName, UpstreamId

RATES_TTL_SECONDS = 0.1
"""How long rates are used again; entries report measured work a few times a second."""


class EngineRate(NamedTuple):
    """
    How fast an engine is.

    Parameters
    ----------
    speed : float
        Its speed of prefill as a multiple of the mean.
    token_seconds : float
        Time between two tokens of a stream there; 0 if unknown.
    """

    speed: float = 1.0
    token_seconds: Seconds = 0.0


NOMINAL_RATE = EngineRate()


def compare(
    work_by_id: Mapping[UpstreamId, MeasuredWork],
) -> Mapping[UpstreamId, EngineRate]:
    """
    Return the rates of engines; empty if nothing was measured.

    Measured speeds are too low if entries don't see each other's latest sends, but
    equally so for all engines: the mean is taken as nominal.
    """
    total = sum_work(work_by_id.values())
    if total == NO_WORK:
        return {}
    mean_token_seconds = total.decode_ms / 1000 / max(1, total.tokens)
    return {
        upstream_id: EngineRate(
            relative_speed(work.speed, total.speed),
            work.token_seconds(mean_token_seconds),
        )
        for upstream_id, work in work_by_id.items()
    }


class _Compared(NamedTuple):
    until: Seconds
    rates_by_id: Mapping[UpstreamId, EngineRate]


class EngineRates:
    """
    Rates of the engines of each service, compared a few times a second.

    Load pattern: queued requests are placed again and again while all slots are taken.

    Parameters
    ----------
    work : callable
        Returns what an engine did recently, as seen by all entries.
    """

    def __init__(
        self,
        *,
        work: Callable[[UpstreamId], MeasuredWork],
        clock: Callable[[], Seconds],
    ) -> None:
        self._work = work
        self._clock = clock
        self._compared_by_service: dict[ServiceName, _Compared] = {}

    def last_of(self, service: ServiceName, upstream_id: UpstreamId) -> EngineRate:
        """Return the rate with which requests were placed last."""
        compared = self._compared_by_service.get(service)
        rates_by_id = {} if compared is None else compared.rates_by_id
        return rates_by_id.get(upstream_id, NOMINAL_RATE)

    def of(
        self, service: ServiceName, upstream_ids: Iterable[UpstreamId]
    ) -> Mapping[UpstreamId, EngineRate]:
        """Return the rates of a service's engines, some of which may be missing."""
        now = self._clock()
        compared = self._compared_by_service.get(service)
        if compared is None or now >= compared.until:
            rates = compare({id_: self._work(id_) for id_ in upstream_ids})
            compared = _Compared(now + RATES_TTL_SECONDS, rates)
            self._compared_by_service[service] = compared
        return compared.rates_by_id
