"""Draws the requests of a run from a seed."""

import math
from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from poplarlug.catalog import Account, Rank
from poplarlug.load.deployments import ENGINE, DeploymentPlan, WorkKind, ZonePlan
from poplarlug.load.faults import Scenario
from poplarlug.routing.prefix_hashes import BLOCK_TOKENS, BYTES_PER_TOKEN
from poplarlug.types import Seconds

FLOODING_ACCOUNTS = 2


class WorkRequest(NamedTuple):
    """
    One request of a workload.

    Parameters
    ----------
    zone : int
        Index of the caller's zone in the plan.
    flood : bool
        Whether the request belongs to a flood.
    """

    at: Seconds
    zone: int
    account: Account
    rank: Rank
    prompt_tokens: int
    answer_tokens: int
    prefix_hashes: tuple[int, ...]
    flood: bool = False

    @property
    def body_bytes(self) -> int:
        return self.prompt_tokens * BYTES_PER_TOKEN


class _Document(NamedTuple):
    hashes: tuple[int, ...]
    tokens: int


class Workload:
    """
    Requests of one run; the same seed yields the same requests.

    Parameters
    ----------
    seconds : float
        Duration of the run.
    """

    def __init__(
        self, *, plan: DeploymentPlan, scenario: Scenario, seconds: Seconds, seed: int
    ) -> None:
        self._plan = plan
        self._scenario = scenario
        self._seconds = seconds
        self._rng = Random(f"{plan.name} {seed}")
        self._open_documents: dict[tuple[str, str], list[_Document]] = {}

    def requests(self) -> list[WorkRequest]:
        """Return all requests in order of time."""
        drawn: list[WorkRequest] = []
        for index, zone in enumerate(self._plan.zones):
            accounts = self._plan.accounts(zone)
            for kind in self._plan.kinds:
                drawn.extend(self._draw_normal(index, zone, accounts, kind))
        # Floods are drawn last, so that all other requests equal those without a flood.
        for index, zone in enumerate(self._plan.zones):
            accounts = self._plan.accounts(zone)[-FLOODING_ACCOUNTS:]
            for kind in self._plan.kinds:
                drawn.extend(self._draw_flood(index, zone, accounts, kind))
        return sorted(drawn, key=lambda request: request.at)

    def _draw_normal(
        self,
        index: int,
        zone: ZonePlan,
        accounts: tuple[Account, ...],
        kind: WorkKind,
    ) -> Iterator[WorkRequest]:
        mean_rate = (
            self._saturating_rate(kind) * kind.share * self._plan.load * zone.demand
        )
        peak_rate = mean_rate * (1.0 + self._plan.swing)
        at = 0.0
        while True:
            at += self._rng.expovariate(peak_rate)
            if at >= self._seconds:
                return
            phase = 2 * math.pi * (at / self._plan.day_seconds - zone.peak)
            rate = mean_rate * (1.0 + self._plan.swing * math.cos(phase))
            if self._rng.random() * peak_rate < rate:
                yield self._draw_request(
                    at, index, self._rng.choice(accounts), kind, False
                )

    def _draw_flood(
        self,
        index: int,
        zone: ZonePlan,
        accounts: tuple[Account, ...],
        kind: WorkKind,
    ) -> Iterator[WorkRequest]:
        for fault in self._scenario.faults:
            if fault.kind != "flood" or fault.rank != kind.rank.name:
                continue
            rate = self._saturating_rate(kind) * fault.factor * zone.demand
            at = fault.starts * self._seconds
            while True:
                at += self._rng.expovariate(rate)
                if at >= fault.ends * self._seconds:
                    break
                yield self._draw_request(
                    at, index, self._rng.choice(accounts), kind, True
                )

    def _saturating_rate(self, kind: WorkKind) -> float:
        """Return the rate of requests of ``kind``, per second, that fills all slots."""
        return self._plan.slots() / slot_seconds(kind)

    def _draw_request(
        self, at: Seconds, index: int, account: Account, kind: WorkKind, flood: bool
    ) -> WorkRequest:
        document = self._document(account, kind)
        return WorkRequest(
            at=at,
            zone=index,
            account=account,
            rank=kind.rank,
            prompt_tokens=kind.instruction_tokens + document.tokens,
            answer_tokens=self._rng.randint(*kind.answer_tokens),
            prefix_hashes=document.hashes,
            flood=flood,
        )

    def _document(self, account: Account, kind: WorkKind) -> _Document:
        """Return a document of the account with uses left, or a new one."""
        key = (account.name, kind.rank.name)
        open_documents = self._open_documents.setdefault(key, [])
        if not open_documents:
            document = self._new_document(account, kind)
            uses = self._rng.randint(*kind.document_uses)
            open_documents.extend([document] * uses)
        return open_documents.pop()

    def _new_document(self, account: Account, kind: WorkKind) -> _Document:
        tokens = self._rng.randint(*kind.document_tokens)
        shared = Random(f"{account.name} {kind.rank.name}")
        hashes = [
            shared.getrandbits(63)
            for _ in range(kind.instruction_tokens // BLOCK_TOKENS)
        ]
        hashes += [self._rng.getrandbits(63) for _ in range(tokens // BLOCK_TOKENS)]
        return _Document(tuple(hashes), tokens)


def slot_seconds(kind: WorkKind) -> Seconds:
    """Return the mean time that a request of ``kind`` occupies a slot of a full batch."""
    prompt = kind.instruction_tokens + sum(kind.document_tokens) / 2
    answer = sum(kind.answer_tokens) / 2
    token_interval = (
        ENGINE.token_seconds + ENGINE.token_seconds_per_sequence * ENGINE.batch_limit
    )
    return prompt / ENGINE.prefill_tokens_per_second + answer * token_interval
