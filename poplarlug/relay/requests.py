"""A caller's request on a route, to be relayed to an upstream."""

import math
from typing import NamedTuple

from poplarlug.discovery.records import ServiceUpstream
from poplarlug.routes import Route
from poplarlug.teams import Team
from poplarlug.types import (
    RegionName,
    RequestId,
    Seconds,
    ServiceName,
    SoftwareVersion,
    UpstreamId,
    VmName,
)


class PromptPart(NamedTuple):
    """A prompt part that requests may share, together with all parts before it."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """
    Description of a request's prompt and response length.

    Parameters
    ----------
    model : str
        Empty if the request names none.
    tokens : int
        Tokens of the prompt.
    max_tokens : int
        Maximum tokens of the response.
    parts : tuple of PromptPart
        Parts in prompt order, as far as routing considers them.
    expected_tokens : int
        The caller's estimate of the response's tokens; 0 if it gives none.
    further_parts : tuple of PromptPart
        The parts after these. Any of them may crash an upstream all the same.
    """

    model: str = ""
    tokens: int = 0
    max_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    expected_tokens: int = 0
    further_parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """All parts but the last, which belongs to the request or its session."""
        return (*self.parts, *self.further_parts)[:-1]


class RelayRequest(NamedTuple):
    """
    A validated request on a route.

    Parameters
    ----------
    path : str
        Path and query as the caller sent them.
    headers : tuple
        Headers to pass on, in order.
    arrived : float
        Event loop time at which the request was completely received.
    deadline : float
        Event loop time after which nobody waits for the response.
    hops : int
        Number of times that an entry forwarded the request.
    answer_by : float
        Event loop time after which the forwarding entry tries another target.
    resumes : RequestId
        The caller's attempt that received the first event of the stream to resume;
        empty if not named.
    broke_off_at : float or None
        Event loop time at which its stream broke off after events were passed on;
        ``None`` if none were.
    version : SoftwareVersion or None
        The only software version that may run the request; ``None`` for any.
    tried : frozenset of UpstreamId
        Upstreams at which the forwarding entry has tried it already.
    team : Team or None
        The team whose key its caller sent; ``None`` without a key.
    authorization : str
        The caller's Authorization header, for another entry only; empty where there
        are no teams, whose upstreams get it among ``headers``.
    stated_tokens : int
        Tokens of prompt and longest response as its caller states them, on any route;
        0 if it doesn't.
    """

    id: RequestId
    route: Route
    service: ServiceName
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived: Seconds
    deadline: Seconds
    prompt: Prompt = Prompt()
    hops: int = 0
    origin: VmName = ""
    answer_by: Seconds = math.inf
    resumes: RequestId = ""
    broke_off_at: Seconds | None = None
    version: SoftwareVersion | None = None
    tried: frozenset[UpstreamId] = frozenset()
    team: Team | None = None
    authorization: str = ""
    stated_tokens: int = 0

    @property
    def quota_amount(self) -> float:
        """What it uses of its team's quota, in the quota's unit."""
        quota = None if self.team is None else self.team.quota
        return 0.0 if quota is None else quota.amount(self.stated_tokens)

    @property
    def rank(self) -> int:
        """Its rank; 0 is the most urgent."""
        if self.team is None or self.team.rank is None:
            return self.route.rank
        return self.team.rank

    def may_reach(self, region: RegionName) -> bool:
        """Return whether its route and its team allow it to be served in a region."""
        return self.route.allows(region) and (
            self.team is None or self.team.allows(region)
        )

    @property
    def keeps_version(self) -> bool:
        """Whether its stream may go on at the software version that began it only."""
        return self.route.kind == "streaming" and self.route.resumable

    def allows(self, upstream: ServiceUpstream) -> bool:
        """
        Return whether an upstream has the required software version.

        An upstream that announces no version can't continue what another one began.
        """
        return self.version is None or self.version == upstream.version != ""
