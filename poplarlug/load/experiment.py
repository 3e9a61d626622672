"""Runs one workload against one policy in virtual time."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from typing import NamedTuple

from returns.result import Failure

from poplarlug.admission import RankAdmission
from poplarlug.fakes.emulator import EngineStream
from poplarlug.load.bench import SimulatedDeployment, SimulatedZone, forward_target
from poplarlug.load.deployments import MODEL, PLANS_BY_NAME
from poplarlug.load.faults import SCENARIOS_BY_NAME, Scenario
from poplarlug.load.policies import FACTORIES_BY_POLICY
from poplarlug.load.workload import Workload, WorkRequest
from poplarlug.routing import ForwardRoute, RouteRequest
from poplarlug.routing.wan_budget import LINK_BYTES_PER_SECOND, ONE_WAY_DELAY_SECONDS
from poplarlug.serving.dispatcher import LocalPlacement, Placement
from poplarlug.types import Seconds
from poplarlug.virtualtime import run_virtual

MAX_ATTEMPTS = 3
CALLER_TIMEOUT_TARGETS = 2.0
FORWARD_TIMEOUT_SECONDS = 2.0
WARM_UP_SECONDS = 5.0
SETTLE_SECONDS = 200.0


class RunKey(NamedTuple):
    """Parameters that identify a run."""

    deployment: str
    scenario: str
    policy: str
    seed: int
    seconds: Seconds = 300.0


class Outcome(NamedTuple):
    """
    Outcome of one request.

    Parameters
    ----------
    seconds : float
        Time from the request to its complete answer, refusal, loss or timeout.
    answered, refused : bool
        Whether the request got a complete answer, or was refused; both are false if
        it was lost or its caller gave up.
    first_token_seconds : float
        Time to the first token, or to the end if there was none.
    forwarded : bool
        Whether another zone executed the request.
    ended_at : float
        Time since the start of the workload.
    prefilled_tokens : int
        Prompt tokens that weren't cached.
    """

    request: WorkRequest
    seconds: Seconds
    answered: bool
    refused: bool
    first_token_seconds: Seconds
    forwarded: bool
    ended_at: Seconds
    prefilled_tokens: int

    @property
    def useful(self) -> bool:
        return self.answered and self.seconds <= self.request.rank.target_seconds


class RunResult(NamedTuple):
    """All outcomes of a run and the resources it used."""

    key: RunKey
    outcomes: list[Outcome]
    prefilled_tokens: float
    decoded_tokens: int
    wan_bytes: int
    cached_blocks_chosen: int
    cached_blocks_best: int


def run_experiment(key: RunKey) -> RunResult:
    """Run the experiment ``key`` in a new virtual-time event loop."""
    return run_virtual(_Run(key=key).run())


class _Run:
    def __init__(self, *, key: RunKey) -> None:
        self._key = key
        self._plan = PLANS_BY_NAME[key.deployment]
        self._scenario: Scenario = SCENARIOS_BY_NAME[key.scenario]
        self._rng = Random(f"run {key.seed}")
        self._outcomes: list[Outcome] = []
        self._wan_bytes = 0
        self._decoded_tokens = 0

    async def run(self) -> RunResult:
        workload = Workload(
            plan=self._plan,
            scenario=self._scenario,
            seconds=self._key.seconds,
            seed=self._key.seed,
        )
        make_parts = FACTORIES_BY_POLICY[self._key.policy]
        self._deployment = SimulatedDeployment(
            plan=self._plan, make_parts=make_parts, rng=self._rng
        )
        background = [asyncio.ensure_future(self._deployment.run_reports())]
        background.append(asyncio.ensure_future(self._run_faults()))
        for zone in self._deployment.zones:
            for parts in zone.parts:
                if isinstance(parts.admission, RankAdmission):
                    background.append(asyncio.ensure_future(parts.admission.run()))
        await asyncio.sleep(WARM_UP_SECONDS)
        await self._send_all(workload.requests())
        for task in background:
            task.cancel()
        return self._result()

    async def _send_all(self, requests: list[WorkRequest]) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        tasks = set()
        for request in requests:
            await asyncio.sleep(max(0.0, started + request.at - loop.time()))
            task = asyncio.ensure_future(self._send(request))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=SETTLE_SECONDS)

    async def _run_faults(self) -> None:
        await asyncio.sleep(WARM_UP_SECONDS)
        loop = asyncio.get_running_loop()
        started = loop.time()
        while True:
            share = (loop.time() - started) / self._key.seconds
            cut = {int(f.zone) for f in self._scenario.active("cut", share)}
            lost = {int(f.zone) for f in self._scenario.active("loss", share)}
            for index, zone in enumerate(self._deployment.zones):
                zone.cut = index in cut
                _set_lost(zone, index in lost)
            await asyncio.sleep(0.5)

    async def _send(self, request: WorkRequest) -> None:
        """Simulate a caller that sends a request and gives up after a timeout."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        progress = _Progress()
        timeout_seconds = request.rank.target_seconds * CALLER_TIMEOUT_TARGETS
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._serve(request, progress)
        except TimeoutError:
            pass
        now = loop.time()
        self._decoded_tokens += progress.tokens
        self._outcomes.append(
            Outcome(
                request=request,
                seconds=now - started,
                answered=progress.answered,
                refused=progress.refused,
                first_token_seconds=(progress.first_token_at or now) - started,
                forwarded=progress.forwarded,
                ended_at=now - WARM_UP_SECONDS,
                prefilled_tokens=progress.prefilled_tokens,
            )
        )

    async def _serve(self, request: WorkRequest, progress: "_Progress") -> None:
        home = self._deployment.zones[request.zone]
        dispatcher = self._rng.choice(home.dispatchers)
        route_request = RouteRequest(
            account=request.account,
            rank=request.rank,
            model=MODEL,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.answer_tokens,
            prefix_hashes=request.prefix_hashes,
            body_bytes=request.body_bytes,
        )
        for _ in range(MAX_ATTEMPTS):
            placed = await dispatcher.place(route_request)
            if isinstance(placed, Failure):
                progress.refused = True
                return
            placement: Placement = placed.unwrap()
            if isinstance(placement, ForwardRoute):
                if await self._serve_forwarded(
                    home, placement, route_request, progress
                ):
                    return
                route_request = route_request._replace(may_forward=False)
            elif await self._serve_at(home, placement, route_request, progress):
                return
            else:
                excluded = route_request.excluded | {placement.upstream.id}
                route_request = route_request._replace(excluded=excluded)

    async def _serve_forwarded(
        self,
        home: SimulatedZone,
        route: ForwardRoute,
        request: RouteRequest,
        progress: "_Progress",
    ) -> bool:
        zone, dispatcher = forward_target(self._deployment, route)
        if not self._deployment.reachable(home, zone):
            await asyncio.sleep(FORWARD_TIMEOUT_SECONDS)
            return False
        self._wan_bytes += request.body_bytes
        await asyncio.sleep(
            ONE_WAY_DELAY_SECONDS + request.body_bytes / LINK_BYTES_PER_SECOND
        )
        placed = await dispatcher.place(request._replace(may_forward=False))
        await asyncio.sleep(ONE_WAY_DELAY_SECONDS)
        if isinstance(placed, Failure):
            return False
        placement = placed.unwrap()
        assert isinstance(placement, LocalPlacement)
        progress.forwarded = True
        return await self._serve_at(zone, placement, request, progress)

    async def _serve_at(
        self,
        zone: SimulatedZone,
        placement: LocalPlacement,
        request: RouteRequest,
        progress: "_Progress",
    ) -> bool:
        try:
            stream = self._deployment.start(zone, placement, request)
            if stream is None:
                return False
            with _track_progress(stream, progress):
                progress.answered = await stream.finished()
            return progress.answered
        finally:
            placement.release()

    def _result(self) -> RunResult:
        engines = [
            e for zone in self._deployment.zones for e in zone.engines_by_id.values()
        ]
        use = self._deployment.cache_use
        return RunResult(
            key=self._key,
            outcomes=self._outcomes,
            prefilled_tokens=sum(e.emulator.prefilled_tokens for e in engines),
            decoded_tokens=self._decoded_tokens,
            wan_bytes=self._wan_bytes,
            cached_blocks_chosen=sum(item.chosen for item in use),
            cached_blocks_best=sum(item.best for item in use),
        )


class _Progress:
    """Progress of one request."""

    def __init__(self) -> None:
        self.answered = False
        self.refused = False
        self.forwarded = False
        self.tokens = 0
        self.prefilled_tokens = 0
        self.first_token_at: Seconds | None = None


@contextmanager
def _track_progress(stream: EngineStream, progress: _Progress) -> Iterator[None]:
    try:
        yield
    finally:
        stream.cancel()
        progress.tokens += stream.tokens
        if stream.prefilled:
            progress.prefilled_tokens += stream.job.prompt_tokens - stream.cached_tokens
        progress.first_token_at = stream.first_token_at


def _set_lost(zone: SimulatedZone, lost: bool) -> None:
    engines = list(zone.engines_by_id.values())
    for engine in engines[: max(1, len(engines) // 2)]:
        if lost and not engine.lost:
            engine.lose()
        elif not lost and engine.lost:
            engine.recover()
