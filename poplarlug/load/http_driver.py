"""Sends a workload to real entries over HTTP."""

import asyncio
from collections import Counter
from collections.abc import Mapping
from random import Random
from typing import Any, NamedTuple

import aiohttp
import msgspec

from poplarlug.load.measures import percentile
from poplarlug.types import Address, ModelName, RankName, Seconds

MAX_REQUESTS = 20_000
MAX_OPEN = 2_000
REQUEST_TIMEOUT_SECONDS = 120.0
ANSWER_TOKENS = 32
FLOOD_STARTS = 1 / 3
FLOOD_ENDS = 2 / 3


class HttpPlan(NamedTuple):
    """
    Workload that is sent over HTTP.

    Parameters
    ----------
    rates_by_rank : mapping
        Requests per second.
    flood_rank, flood_rate : str, float
        Rank and rate of additional requests per second in the middle third of the run.
    """

    entries: tuple[Address, ...]
    key: str
    model: ModelName
    seconds: Seconds
    rates_by_rank: Mapping[RankName, float]
    flood_rank: RankName = ""
    flood_rate: float = 0.0
    seed: int = 1


class _Sent(NamedTuple):
    rank: RankName
    flood: bool
    status: int
    seconds: Seconds
    retry_after: str


class _Arrival(NamedTuple):
    at: Seconds
    rank: RankName
    flood: bool


async def run_http(plan: HttpPlan) -> bytes:
    """Send all requests of ``plan`` and return a JSON summary by rank."""
    rng = Random(plan.seed)
    loop = asyncio.get_running_loop()
    limit = asyncio.Semaphore(MAX_OPEN)
    sent: list[_Sent] = []
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
    connector = aiohttp.TCPConnector(limit=MAX_OPEN)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        started = loop.time()
        async with asyncio.TaskGroup() as group:
            for number, arrival in enumerate(_arrivals(plan, rng)):
                await asyncio.sleep(max(0.0, started + arrival.at - loop.time()))
                await limit.acquire()
                entry = rng.choice(plan.entries)
                task = group.create_task(
                    _send(session, plan, entry, arrival, number, sent)
                )
                task.add_done_callback(lambda _: limit.release())
    return msgspec.json.format(msgspec.json.encode(_summary(sent)))


def _arrivals(plan: HttpPlan, rng: Random) -> list[_Arrival]:
    drawn: list[_Arrival] = []
    for rank, rate in plan.rates_by_rank.items():
        drawn += _poisson(rng, rank, rate, 0.0, plan.seconds, False)
    if plan.flood_rank:
        starts, ends = FLOOD_STARTS * plan.seconds, FLOOD_ENDS * plan.seconds
        drawn += _poisson(rng, plan.flood_rank, plan.flood_rate, starts, ends, True)
    return sorted(drawn)[:MAX_REQUESTS]


def _poisson(
    rng: Random,
    rank: RankName,
    rate: float,
    starts: Seconds,
    ends: Seconds,
    flood: bool,
) -> list[_Arrival]:
    drawn: list[_Arrival] = []
    at = starts
    while rate > 0 and len(drawn) < MAX_REQUESTS:
        at += rng.expovariate(rate)
        if at >= ends:
            break
        drawn.append(_Arrival(at, rank, flood))
    return drawn


async def _send(
    session: aiohttp.ClientSession,
    plan: HttpPlan,
    entry: Address,
    arrival: _Arrival,
    number: int,
    sent: list[_Sent],
) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    body = {
        "model": plan.model,
        "messages": [{"role": "user", "content": f"request {number} of the load"}],
        "max_tokens": ANSWER_TOKENS,
    }
    headers = {"Authorization": f"Bearer {plan.key}", "X-Rank": arrival.rank}
    status, retry_after = 0, ""
    try:
        async with session.post(
            f"http://{entry}/v1/chat/completions", json=body, headers=headers
        ) as response:
            await response.read()
            status = response.status
            retry_after = response.headers.get("Retry-After", "")
    except (aiohttp.ClientError, TimeoutError, OSError):
        pass
    seconds = loop.time() - started
    sent.append(_Sent(arrival.rank, arrival.flood, status, seconds, retry_after))


def _summary(sent: list[_Sent]) -> dict[str, Any]:
    summary: dict[str, Any] = {}
    for rank in sorted({item.rank for item in sent}):
        of_rank = [item for item in sent if item.rank == rank]
        answered = [item.seconds for item in of_rank if item.status == 200]
        refused = [item for item in of_rank if item.status == 429]
        statuses = Counter(str(item.status) for item in of_rank)
        summary[rank] = {
            "sent": len(of_rank),
            "of_flood": sum(item.flood for item in of_rank),
            "statuses": dict(statuses),
            "answered_p50_seconds": percentile(answered, 0.5),
            "answered_p99_seconds": percentile(answered, 0.99),
            "refused_p99_seconds": percentile([i.seconds for i in refused], 0.99),
            "refused_without_retry_after": sum(not i.retry_after for i in refused),
        }
    return summary
