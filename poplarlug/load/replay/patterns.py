"""Load patterns of short chats and long digests that share prompt prefixes."""

from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from poplarlug.load.replay.engines import EngineSpec
from poplarlug.relay.requests import Prompt, PromptPart
from poplarlug.routes import Route
from poplarlug.routes.objects import ServiceWeight
from poplarlug.types import Seconds

SERVICE = "engines"

CHAT = Route(
    name="chat",
    host="replay",
    path_prefix="/chat/",
    kind="streaming",
    timeout_seconds=12.0,
    objective_seconds=0.8,
    rank=0,
    services=(ServiceWeight(SERVICE, 1.0),),
    prompts=True,
)

DIGEST = Route(
    name="digest",
    host="replay",
    path_prefix="/digest/",
    kind="streaming",
    timeout_seconds=5.0,
    objective_seconds=2.0,
    rank=1,
    services=(ServiceWeight(SERVICE, 1.0),),
    prompts=True,
)

WORTH_BY_ROUTE: Mapping[str, float] = {"chat": 3.4, "digest": 1.3}
LATE_SHARE_BY_ROUTE: Mapping[str, float] = {"chat": 0.41, "digest": 0.59}
URGENT_DIGEST_WORTH_BY_ROUTE: Mapping[str, float] = {"chat": 0.96, "digest": 4.4}
URGENT_DIGEST_LATE_SHARE_BY_ROUTE: Mapping[str, float] = {"chat": 0.75, "digest": 0.89}
QUICK_DIGEST_WORTH_BY_ROUTE: Mapping[str, float] = {"chat": 2.0, "digest": 2.8}
QUICK_DIGEST_LATE_SHARE_BY_ROUTE: Mapping[str, float] = {"chat": 0.6, "digest": 0.83}

WARMUP_PER_SECOND = 1.5
"""Requests per second that a cold engine can take, as on the users' deployments."""


class Pattern(NamedTuple):
    """
    Load on one region.

    Parameters
    ----------
    engines, entries : int
        Number of engines and entries of the region, in two zones.
    chats, digests : float
        Requests per second and engine.
    burst, chat_burst : float
        Factor on the rate of digests or chats in the middle third of the replay.
    cold_engines : int
        Number of engines that are cold throughout and take few requests per second.
    urgent_digests : bool
        Whether digests have the most urgent rank, a short objective and most of the
        worth, instead of chats.
    quick_digests : bool
        Whether digests have a short objective and more worth than chats, whose rank
        stays the most urgent one.
    speeds : tuple of float
        Speeds of the engines, in turn.
    chat_spread : float
        Standard deviation of the logarithm of the lengths of chats; their mean stays.
    hint_error : float
        The same of a caller's estimate around the length; 0 if callers give none.
    subjects : int
        Number of shared prompt parts of digests; the first ones are the most frequent.
    """

    engines: int = 24
    entries: int = 20
    chats: float = 2.3
    digests: float = 1.5
    burst: float = 1.0
    chat_burst: float = 1.0
    cold_engines: int = 0
    urgent_digests: bool = False
    quick_digests: bool = False
    speeds: tuple[float, ...] = (1.0,)
    chat_spread: float = 0.6
    hint_error: float = 0.0
    subjects: int = 300
    seconds: Seconds = 18.0
    spec: EngineSpec = EngineSpec()
    max_pause_seconds: Seconds = 0.6

    @property
    def routes(self) -> tuple[Route, Route]:
        """Routes of the chats and of the digests."""
        chat, digest = CHAT, DIGEST
        if self.urgent_digests:
            chat = CHAT._replace(rank=2, objective_seconds=1.5)
            digest = DIGEST._replace(rank=0, objective_seconds=0.835)
        if self.quick_digests:
            chat = CHAT._replace(objective_seconds=0.6)
            digest = DIGEST._replace(objective_seconds=0.8)
        pause = self.max_pause_seconds
        return (
            chat._replace(max_pause_seconds=pause),
            digest._replace(max_pause_seconds=pause),
        )

    @property
    def worth_by_route(self) -> Mapping[str, float]:
        """Worth of an answer within its objectives."""
        if self.quick_digests:
            return QUICK_DIGEST_WORTH_BY_ROUTE
        return URGENT_DIGEST_WORTH_BY_ROUTE if self.urgent_digests else WORTH_BY_ROUTE

    @property
    def late_share_by_route(self) -> Mapping[str, float]:
        """Share of the worth that a late answer has."""
        if self.quick_digests:
            return QUICK_DIGEST_LATE_SHARE_BY_ROUTE
        if self.urgent_digests:
            return URGENT_DIGEST_LATE_SHARE_BY_ROUTE
        return LATE_SHARE_BY_ROUTE


SMALL = Pattern(
    engines=3,
    entries=3,
    chats=5.6,
    digests=1.3,
    subjects=40,
    spec=EngineSpec(slots=128, kv_capacity_tokens=210_000, tokens_per_event=5),
    max_pause_seconds=0.4,
)
"""Few engines with large batches, and callers that tolerate only shorter pauses."""

LARGE = Pattern(engines=35, entries=65, chats=1.75, digests=1.15)
"""Many entries, each of which sends few of the requests to any engine."""

URGENT_DIGESTS = Pattern(
    engines=14,
    entries=22,
    chats=8.0,
    digests=6.0,
    urgent_digests=True,
    subjects=400,
    spec=EngineSpec(
        slots=64,
        kv_capacity_tokens=376_000,
        step_seconds=0.0037,
        read_tokens_per_second=81_900.0,
        tokens_per_event=8,
    ),
    max_pause_seconds=0.4,
)
"""Long prompts of the most urgent rank among many patient streams."""

UNEVEN = Pattern(
    engines=20,
    entries=43,
    chats=4.0,
    digests=5.0,
    quick_digests=True,
    speeds=(0.55, 1.2, 1.2, 1.2),
    chat_spread=1.2,
    hint_error=0.5,
    subjects=2000,
    spec=EngineSpec(
        slots=64,
        kv_capacity_tokens=365_000,
        step_seconds=0.0038,
        slot_seconds=0.000089,
        read_tokens_per_second=56_600.0,
        pair_seconds=1.2e-10,
        tokens_per_event=7,
    ),
)
"""Engines of different speeds; long streams can't end in time at the slow ones."""

PATTERNS_BY_NAME: Mapping[str, Pattern] = {
    "calm": Pattern(),
    "digest-burst": Pattern(burst=2.5),
    "chat-burst": Pattern(chat_burst=2.5),
    "double-burst": Pattern(burst=2.0, chat_burst=1.6),
    "large-calm": LARGE,
    "large-digest-burst": LARGE._replace(burst=2.2),
    "large-chat-burst": LARGE._replace(chat_burst=2.2),
    "large-cold": LARGE._replace(cold_engines=30, burst=2.2),
    "urgent-digests": URGENT_DIGESTS,
    "urgent-digest-burst": URGENT_DIGESTS._replace(burst=2.2),
    "urgent-digest-chat-burst": URGENT_DIGESTS._replace(chat_burst=2.5),
    "uneven": UNEVEN,
    "uneven-chat-burst": UNEVEN._replace(chat_burst=2.0),
    "small-calm": SMALL,
    "small-digest-burst": SMALL._replace(burst=2.0),
    "small-chat-burst": SMALL._replace(chat_burst=1.6),
}


class Arrival(NamedTuple):
    """One request of a replay."""

    at: Seconds
    number: int
    route: Route
    prompt: Prompt
    answer_tokens: int


def draw_arrivals(pattern: Pattern, rng: Random) -> list[Arrival]:
    """Return the requests of a pattern in order of arrival."""
    arrivals: list[Arrival] = []
    tokens_by_subject = [
        rng.randint(1000, 7000) if rng.random() < 0.85 else rng.randint(7000, 10_000)
        for _ in range(pattern.subjects)
    ]
    weights = [1 / (1 + rank) ** 0.6 for rank in range(pattern.subjects)]
    chat, digest = pattern.routes
    for route, rate, burst in (
        (chat, pattern.chats, pattern.chat_burst),
        (digest, pattern.digests, pattern.burst),
    ):
        now = 0.0
        while True:
            in_burst = pattern.seconds / 3 <= now < pattern.seconds * 2 / 3
            now += rng.expovariate(
                rate * pattern.engines * (burst if in_burst else 1.0)
            )
            if now >= pattern.seconds:
                break
            number = len(arrivals)
            if route is chat:
                prompt, answer = _draw_chat(rng, number, pattern.chat_spread)
            else:
                subject = rng.choices(range(pattern.subjects), weights)[0]
                prompt, answer = _draw_digest(rng, number, subject, tokens_by_subject)
            if pattern.hint_error:
                hint = answer * rng.lognormvariate(0, pattern.hint_error)
                prompt = prompt._replace(expected_tokens=max(1, round(hint)))
            arrivals.append(Arrival(now, number, route, prompt, answer))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _draw_chat(rng: Random, number: int, spread: float) -> tuple[Prompt, int]:
    shared = PromptPart(f"c{rng.randrange(20)}", 200)
    own = PromptPart(f"own{number}", int(rng.lognormvariate(6.2, 0.7)))
    answer = min(950, max(20, int(rng.lognormvariate(5.68 - spread**2 / 2, spread))))
    return Prompt("m", shared.tokens + own.tokens, 955, (shared, own)), answer


def _draw_digest(
    rng: Random, number: int, subject: int, tokens_by_subject: list[int]
) -> tuple[Prompt, int]:
    first = PromptPart(f"d{min(3, int(rng.expovariate(1.6)))}", 2600)
    second = PromptPart(f"{first.id}-s{subject}", tokens_by_subject[subject])
    own = PromptPart(f"own{number}", min(15_000, int(rng.lognormvariate(7.6, 0.8))))
    parts = (first, second, own)
    prompt = Prompt("m", sum(part.tokens for part in parts), 205, parts)
    return prompt, max(10, int(rng.lognormvariate(3.8, 0.4)))
