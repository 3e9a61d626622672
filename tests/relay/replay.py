"""Replays loads against the placement policy, with small engine models in virtual time."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from poplarlug.relay.engine_model import EngineLoad, prefill_seconds
from poplarlug.relay.placement import Candidate, Local, Requirements, place

CHUNK_TOKENS = 2048
STEP_SECONDS = 0.005
SLOT_SECONDS = 0.000014
TOKENS_PER_EVENT = 5
PREFILL_TOKENS_PER_SECOND = 38_400.0
SECONDS_PER_PAIR = 1.18e-9
KV_CAPACITY = 210_000
PAUSE_SECONDS = 0.4
DIGEST_OBJECTIVE_SECONDS = 2.0
DIGEST_DEADLINE_SECONDS = 5.0
LATE_WORTH = 0.3
RETRY_SECONDS = 0.05


class Prompt(NamedTuple):
    """A request of the replay."""

    at: float
    tokens: int
    answer_tokens: int
    objective: float = 0.8
    deadline: float = 15.0

    @property
    def is_digest(self) -> bool:
        return self.deadline == DIGEST_DEADLINE_SECONDS


class Run:
    """One request at an engine."""

    def __init__(self, prompt: Prompt, started: float) -> None:
        self.prompt = prompt
        self.arrived = prompt.at
        self.started = started
        self.unread = prompt.tokens
        self.tokens_made = 0
        self.last_event = started
        self.first_event = 0.0
        self.longest_pause = 0.0

    @property
    def is_long(self) -> bool:
        return prefill_seconds(self.prompt.tokens, 0) > 0.12

    def read(self) -> float:
        """Prefill one chunk and return the seconds that it takes."""
        chunk = min(CHUNK_TOKENS, self.unread)
        before = self.prompt.tokens - self.unread
        self.unread -= chunk
        pairs = chunk * (before + chunk / 2)
        return chunk / PREFILL_TOKENS_PER_SECOND + pairs * SECONDS_PER_PAIR

    def make_token(self, now: float) -> None:
        """Generate one token; every ``TOKENS_PER_EVENT`` tokens form an event."""
        self.tokens_made += 1
        if self.tokens_made == 1:
            self.first_event = self.last_event = now
        elif self.tokens_made % TOKENS_PER_EVENT == 0:
            self.longest_pause = max(self.longest_pause, now - self.last_event)
            self.last_event = now

    @property
    def worth(self) -> float:
        """Share of the response's worth that its caller gets."""
        if self.tokens_made < self.prompt.answer_tokens:
            return 0.0
        if self.last_event - self.arrived > self.prompt.deadline:
            return 0.0
        waited = self.first_event - self.arrived
        if waited <= self.prompt.objective and self.longest_pause <= PAUSE_SECONDS:
            return 1.0
        return LATE_WORTH


class Engine:
    """A batching engine that prefills in chunks between the tokens of its streams."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.now = 0.0
        self.runs: list[Run] = []

    def advance(self, until: float) -> None:
        """Run steps until a time is reached."""
        while self.now < until:
            if not self.runs:
                self.now = until
                return
            self._step()

    def load(self) -> EngineLoad:
        waiting = [run for run in self.runs if run.unread]
        return EngineLoad(
            running=len(self.runs),
            long=sum(run.is_long for run in self.runs),
            read_ms=round(1000 * sum(prefill_seconds(r.unread, 0) for r in waiting)),
            kv_tokens=sum(r.prompt.tokens + r.prompt.answer_tokens for r in self.runs),
        )

    def _step(self) -> None:
        seconds = STEP_SECONDS + SLOT_SECONDS * len(self.runs)
        unread = next((run for run in self.runs if run.unread), None)
        if unread is not None:
            seconds += unread.read()
        self.now += seconds
        for run in [run for run in self.runs if not run.unread]:
            run.make_token(self.now)
            if run.tokens_made >= run.prompt.answer_tokens:
                self.runs.remove(run)


Choose = Callable[[Prompt, list[Engine], float], Engine | None]
"""Returns the engine for a prompt at a given time; ``None`` while it has to wait."""


def by_least_loss(prompt: Prompt, engines: list[Engine], now: float) -> Engine | None:
    """Choose by the gateway's placement policy."""
    requirements = Requirements(
        kv_tokens=prompt.tokens + prompt.answer_tokens,
        objective_seconds=prompt.at + prompt.objective - now,
        route_objective_seconds=prompt.objective,
    )
    candidates = [
        Candidate(
            id=engine.name,
            load=engine.load(),
            slots=128,
            kv_capacity=KV_CAPACITY,
            prefill_seconds=prefill_seconds(prompt.tokens, 0),
        )
        for engine in engines
    ]
    chosen = place(requirements, candidates, ())
    if not isinstance(chosen, Local):
        return None
    return next(engine for engine in engines if engine.name == chosen.upstream_id)


def by_least_running(
    prompt: Prompt, engines: list[Engine], now: float
) -> Engine | None:
    """Choose the engine with the fewest requests; the baseline."""
    return min(engines, key=lambda engine: len(engine.runs))


def replay(prompts: list[Prompt], choose: Choose, engines: int) -> float:
    """Return the share of the prompts' worth that their callers get."""
    group = [Engine(f"e-{number}") for number in range(engines)]
    arrivals = sorted(prompts)
    waiting: list[Prompt] = []
    runs = []
    now = 0.0
    while arrivals or waiting:
        now += RETRY_SECONDS
        for engine in group:
            engine.advance(now)
        while arrivals and arrivals[0].at <= now:
            waiting.append(arrivals.pop(0))
        still_waiting = []
        for prompt in waiting:
            engine = choose(prompt, group, now)
            if engine is not None:
                run = Run(prompt, now)
                engine.runs.append(run)
                runs.append(run)
            elif now - prompt.at < prompt.deadline - prompt.objective / 2:
                still_waiting.append(prompt)
        waiting = still_waiting
    for engine in group:
        engine.advance(now + 60.0)
    return sum(run.worth for run in runs) / len(prompts)


def mixed_load(
    rng: Random,
    *,
    seconds: float,
    chats: float,
    digests: float,
    burst: float = 1.0,
) -> list[Prompt]:
    """
    Return short chats and long digests that arrive at random.

    Parameters
    ----------
    chats, digests : float
        Requests per second.
    burst : float
        Factor on the rate of digests in the middle third of the time.
    """
    prompts = []
    at = 0.0
    while (at := at + rng.expovariate(chats)) < seconds:
        prompts.append(Prompt(at, _size(rng, 700), 290))
    at = 0.0
    while at < seconds:
        is_burst = seconds / 3 <= at < 2 * seconds / 3
        at += rng.expovariate(digests * (burst if is_burst else 1.0))
        digest = Prompt(
            at, _size(rng, 7000), 50, DIGEST_OBJECTIVE_SECONDS, DIGEST_DEADLINE_SECONDS
        )
        prompts.append(digest)
    return prompts


def _size(rng: Random, mean: int) -> int:
    return max(50, min(36_000, int(mean * rng.lognormvariate(-0.3, 0.8))))
