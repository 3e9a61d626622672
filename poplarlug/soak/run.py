"""One soak run: a deployment, its load, a fault schedule and the checks."""

import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import cycle, islice
from pathlib import Path
from random import Random
from typing import NamedTuple

from poplarlug.discovery.records import UpstreamPhase
from poplarlug.platform.encoding import (
    configuration_path,
    encode_configuration,
    version_of,
)
from poplarlug.platform.names import HEADER_NAMES
from poplarlug.routes import (
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    ServiceWeight,
)
from poplarlug.soak.callers import (
    COMMON_PART,
    CRASH_BODY,
    CRASH_PART,
    HOST,
    RECONNECT_SHARE,
    Call,
    Caller,
    CrashCaller,
    Operator,
    PartCrashCaller,
)
from poplarlug.soak.deployment import ZONES, SeededDeployment
from poplarlug.soak.promises import (
    MAX_REQUEST_CRASHES,
    LimitPeriod,
    check_answered,
    check_calls,
    check_limits,
    read_logs,
)
from poplarlug.soak.proxy import FaultProxy, LinkMode
from poplarlug.soak.schedule import (
    SLOW_PART_SECONDS,
    Fault,
    ScheduledLimit,
    draw_limits,
    draw_schedule,
    draw_series,
    draw_slowness,
    draw_stops,
    draw_storage_faults,
)
from poplarlug.soak.team_promises import (
    check_hot_team,
    check_keys,
    check_quota,
    is_entitled,
    is_revoked,
)
from poplarlug.soak.teams import (
    AMPLE_CALLER,
    HOT_TEAM,
    QUOTA_BOUNDS,
    REVOCATION_SECONDS,
    TEAMS,
    TEAMS_OF_CALLERS,
    KeyRing,
)
from poplarlug.soak.upstream import EVENT_SECONDS, PART_SECONDS, Arrival, Upstream
from poplarlug.types import Seconds

ENTRY_ZONES = ("quito-a", "quito-a", "cuenca-a", "guayaquil-a")
UPSTREAM_ZONES = ("quito-a", "quito-a", "cuenca-a", "guayaquil-a")
CALLERS = 8
CALLERS_BESIDE_DRAINS = 16
UNFRAMED_SHARE = 0.4
UNFRAMED_SHARE_BESIDE_DRAINS = 0.5
"""Fraction of the upstreams' answers that have neither a length nor chunks."""

BEAT_SECONDS = 0.6
RECOVERY_SECONDS = 12.0
"""Time after the last fault until requests have to succeed again."""

SETTLED_SECONDS = 3.0
SERVED_SHARE = 0.9
"""Fraction of requests that have to succeed after recovery."""

MAX_SHOWN_KINDS = 4
"""Maximum number of kinds of failed requests listed in a violation."""

MAX_SHOWN_BYTES = 80
"""Maximum number of bytes quoted from an error response in a violation."""

LINK_SOURCE = "entries"
OVER_QUOTA = b'"type":"over_quota"'


class SoakReport(NamedTuple):
    """
    Result of one seed.

    Parameters
    ----------
    faults : int
        Number of scheduled faults.
    calls, served : int
        Number of requests, and of those answered with status 200.
    cut_unframed : int
        Number of answers without a length or chunks that the end of an upstream cut off.
    revoked, over_quota : int
        Number of requests with a key that no entry may take any more, and of those that
        were refused beyond a quota.
    broken : tuple of str
        Violated guarantees; empty if the run passed.
    """

    seed: int
    faults: int
    calls: int
    served: int
    cut_unframed: int
    revoked: int
    over_quota: int
    broken: tuple[str, ...]


def _error_excerpt(body: bytes) -> str:
    """Return the beginning of an error response's text."""
    return body[:MAX_SHOWN_BYTES].decode(errors="replace")


def _is_crash_request(arrival: Arrival) -> bool:
    """Return whether a request crashes the upstreams that execute it."""
    parts = arrival.headers.get(HEADER_NAMES.prompt_parts, "")
    return arrival.body == CRASH_BODY or f",{CRASH_PART}:" in parts


class SoakRun:
    """
    Soak run of one seed.

    Parameters
    ----------
    seconds : float
        Duration of the fault injection.
    folder : pathlib.Path
        Directory for settings, data and logs of all processes.
    deadly : bool
        Whether one caller keeps sending a request that crashes its upstreams.
    deadly_part : bool
        Whether one caller keeps sending requests, no two of them alike, with a prompt
        part that crashes their upstreams.
    limits : bool
        Whether some upstreams announce rate limits for a while.
    drains : bool
        Whether entries are only stopped as planned, also in series, while upstreams
        work on answers for longer than the drains take.
    teams : bool
        Whether callers carry keys of teams, one of them over its quota, and the
        operator takes keys away and adds others.
    entries : int
        Number of entries, spread over the zones.
    """

    def __init__(
        self,
        *,
        seed: int,
        seconds: Seconds,
        folder: Path,
        deadly: bool = False,
        deadly_part: bool = False,
        limits: bool = False,
        drains: bool = False,
        teams: bool = False,
        entries: int = len(ENTRY_ZONES),
    ) -> None:
        self._seed = seed
        self._deadly_part = deadly_part
        self._deadly = deadly
        self._seconds = seconds
        self._rng = Random(seed)
        drawn = draw_schedule(self._rng, seconds=seconds)
        # A separate generator, so that seeds that failed before keep their faults.
        self._storage_rng = Random(f"{seed}/storage")
        storage = draw_storage_faults(self._storage_rng, seconds=seconds)
        series = draw_series(Random(f"{seed}/series"), seconds=seconds)
        if drains:
            stops_rng = Random(f"{seed}/stops")
            series = draw_stops(stops_rng, seconds=seconds, entries=entries)
            series += draw_slowness(Random(f"{seed}/slowness"), seconds=seconds)
        self._drains = drains
        self.faults = tuple(
            sorted([*drawn, *storage, *series], key=lambda fault: fault.at)
        )
        drawn_limits = draw_limits(Random(f"{seed}/limits"), seconds=seconds)
        self._scheduled_limits = drawn_limits if limits else ()
        self._limit_periods: list[tuple[Upstream, LimitPeriod]] = []
        folder.mkdir(parents=True, exist_ok=True)
        zones = tuple(islice(cycle(ENTRY_ZONES), entries))
        self._keys = KeyRing(rng=Random(f"{seed}/keys")) if teams else None
        revocation = {"bound_milliseconds": REVOCATION_SECONDS * 1000}
        self._deployment = SeededDeployment(
            folder=folder,
            entry_zones=zones,
            quotas=QUOTA_BOUNDS._asdict() if teams else None,
            revocation=revocation if teams else None,
        )
        self._proxy = FaultProxy()
        self._upstreams: list[Upstream] = []
        self._addresses: list[str] = []
        self._beats_stopped = threading.Event()
        self._leaving: set[str] = set()
        self._version = 1

    def execute(self) -> SoakReport:
        """Run load and faults, check the guarantees and stop all processes."""
        try:
            return self._execute()
        finally:
            self._beats_stopped.set()
            self._deployment.close()
            for upstream in self._upstreams:
                upstream.close()
            self._proxy.close()

    def _execute(self) -> SoakReport:
        deployment = self._deployment
        deployment.start_all()
        self._start_upstreams()
        put = deployment.operate("PUT", configuration_path(), self._document(1))
        assert put.status == 200, put
        if self._keys is not None:
            self._keys.acknowledge(time.monotonic())
        deployment.wait_ready()
        entries = [deployment.entry_address(name) for name in deployment.entries]
        callers = [
            Caller(
                entries=entries,
                rng=Random(f"{self._seed}/{number}"),
                shared_parts=f"{COMMON_PART},b{number}:100"
                if self._deadly_part
                else "",
                reconnect_share=RECONNECT_SHARE if number % 2 else 0.0,
                pick_key=self._key_picker(number),
            )
            for number in range(CALLERS_BESIDE_DRAINS if self._drains else CALLERS)
        ]
        operator = self._operator()
        crash_caller = CrashCaller(
            entries=entries,
            rng=Random(f"{self._seed}/insister"),
            pick_key=self._key_picker(AMPLE_CALLER),
        )
        part_caller = PartCrashCaller(
            entries=entries,
            rng=Random(f"{self._seed}/part"),
            shared_parts=f"{COMMON_PART},{CRASH_PART}:100",
            pick_key=self._key_picker(AMPLE_CALLER),
        )
        threads: list[Caller | Operator] = [*callers, operator]
        if self._deadly:
            threads.append(crash_caller)
        if self._deadly_part:
            threads.append(part_caller)
        for thread in threads:
            thread.start()
        self._inject()
        time.sleep(RECOVERY_SECONDS)
        recovered = time.monotonic()
        time.sleep(SETTLED_SECONDS)
        for thread in threads:
            thread.stop()
        for thread in threads:
            thread.join()
        calls = [call for caller in callers for call in caller.calls]
        crash_calls = crash_caller.calls + part_caller.calls
        return self._report(calls, crash_calls, operator, recovered)

    def _key_picker(self, caller: int) -> Callable[[Seconds], str] | None:
        if self._keys is None:
            return None
        team = TEAMS_OF_CALLERS[caller % len(TEAMS_OF_CALLERS)]
        rng = Random(f"{self._seed}/{caller}/keys")
        return partial(self._keys.pick, team.name, rng)

    def _report(
        self,
        calls: list[Call],
        crash_calls: list[Call],
        operator: Operator,
        recovered: Seconds,
    ) -> SoakReport:
        crash_ids = {call.id for call in crash_calls}
        arrivals = [
            arrival
            for upstream in self._upstreams
            for arrival in upstream.arrivals
            if arrival.request_id not in crash_ids
        ]
        logs = read_logs(self._deployment.folder)
        broken = check_calls(calls, arrivals, may_refuse_keys=self._keys is not None)
        broken += operator.broken + list(logs.broken)
        if self._drains:
            run_ids = {arrival.request_id for arrival in arrivals}
            broken += check_answered(calls, run_ids | logs.request_ids)
        broken += self._check_teams(calls, arrivals)
        late = [call for call in calls if call.sent > recovered and self._is_owed(call)]
        served = sum(call.status == 200 for call in late)
        if not late or served < SERVED_SHARE * len(late):
            broken.append(
                f"{served} of {len(late)} requests served after recovery"
                f" ({self._describe_unserved(late, recovered)})"
            )
        broken += self._check_crash_sends(recovered)
        for upstream, period in self._limit_periods:
            broken += check_limits(upstream.received, period)
        final_version = self._read_version()
        if final_version < operator.acknowledged:
            broken.append(f"version {final_version} is left of {operator.acknowledged}")
        answered = sum(call.status == 200 for call in calls)
        histories = {} if self._keys is None else self._keys.history_by_key
        return SoakReport(
            seed=self._seed,
            faults=len(self.faults),
            calls=len(calls),
            served=answered,
            cut_unframed=sum(upstream.cut_unframed for upstream in self._upstreams),
            revoked=sum(
                call.key in histories and is_revoked(call, histories) for call in calls
            ),
            over_quota=sum(OVER_QUOTA in call.body for call in calls),
            broken=tuple(broken),
        )

    def _is_owed(self, call: Call) -> bool:
        """Return whether a call has a key that is in force, of a team with room."""
        if self._keys is None:
            return True
        histories = self._keys.history_by_key
        return is_entitled(call, histories) and (
            histories[call.key].team != HOT_TEAM.name
        )

    def _check_teams(self, calls: list[Call], arrivals: list[Arrival]) -> list[str]:
        if self._keys is None:
            return []
        histories = self._keys.history_by_key
        broken = check_keys(calls, arrivals, histories)
        for team in TEAMS:
            if team.quota is not None:
                of_team = [
                    call
                    for call in calls
                    if call.key in histories and histories[call.key].team == team.name
                ]
                broken += check_quota(of_team, arrivals, team.quota, QUOTA_BOUNDS)
                if team == HOT_TEAM:
                    last = max(call.sent for call in of_team)
                    broken += check_hot_team(of_team, team.quota, QUOTA_BOUNDS, last)
        return broken

    def _describe_unserved(self, calls: list[Call], recovered: Seconds) -> str:
        """Describe failed calls by kind, entry and time, with the upstreams' crashes."""
        unserved = [call for call in calls if call.status != 200]
        kinds = Counter(
            (call.status, call.entry, _error_excerpt(call.body)) for call in unserved
        )
        parts = [
            f"{count} x {kind}" for kind, count in kinds.most_common(MAX_SHOWN_KINDS)
        ]
        times = [call.sent - recovered for call in unserved]
        if times:
            parts.append(f"sent {min(times):.2f} to {max(times):.2f} s after it")
        crashes = [
            crash - recovered for u in self._upstreams for crash in u.crash_times
        ]
        parts.append(
            f"upstreams ended at {[round(crash, 2) for crash in sorted(crashes)]} s"
        )
        return ", ".join(parts)

    def _check_crash_sends(self, recovered: Seconds) -> list[str]:
        """Return a violation if what crashed upstreams was sent too often."""
        crashes = sum(len(upstream.crash_times) for upstream in self._upstreams)
        late = sum(
            _is_crash_request(arrival) and arrival.at > recovered
            for upstream in self._upstreams
            for arrival in upstream.arrivals
        )
        if crashes < MAX_REQUEST_CRASHES or late <= MAX_REQUEST_CRASHES:
            return []
        return [
            f"what had ended {crashes} upstreams was sent {late} times after recovery"
        ]

    def _inject(self) -> None:
        """Start each fault at its scheduled time; faults may overlap."""
        started = time.monotonic()
        threads = [
            threading.Thread(target=self._limit, args=(scheduled,), daemon=True)
            for scheduled in self._scheduled_limits
        ]
        for thread in threads:
            thread.start()
        for fault in self.faults:
            time.sleep(max(0.0, started + fault.at - time.monotonic()))
            thread = threading.Thread(target=self._apply, args=(fault,), daemon=True)
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        # A service manager starts these again; all others have to live.
        for name in (*self._deployment.entries, *self._deployment.control.values()):
            if self._deployment.was_hung_up(name):
                self._deployment.start(name)
        self._proxy.heal()

    def _limit(self, scheduled: ScheduledLimit) -> None:
        """Make an upstream announce a rate limit for a while."""
        time.sleep(scheduled.at)
        upstream = self._upstreams[scheduled.target % len(self._upstreams)]
        upstream.limit = str(scheduled.rate)
        began = time.monotonic()
        time.sleep(scheduled.seconds)
        ended = time.monotonic()
        upstream.limit = ""
        self._limit_periods.append(
            (upstream, LimitPeriod(began, ended, scheduled.rate))
        )

    def _apply(self, fault: Fault) -> None:
        if fault.affects_storage:
            self._apply_storage_fault(fault)
        elif fault.affects_process:
            self._apply_process_fault(fault)
        else:
            self._apply_upstream_fault(fault)

    def _apply_process_fault(self, fault: Fault) -> None:
        deployment = self._deployment
        names = [*deployment.entries, *deployment.control.values()]
        name = names[fault.target % len(names)]
        is_planned = self._drains and name in deployment.entries
        is_kill = fault.kind == "kill" and not is_planned
        number = signal.SIGKILL if is_kill else signal.SIGTERM
        if fault.kind == "hang_up":
            deployment.signal(name, signal.SIGHUP)
        elif fault.kind == "pause" and not is_planned:
            deployment.pause(name, fault.seconds)
        elif not deployment.is_running(name):
            deployment.signal(name, number)
        else:
            deployment.kill(name, number)
            time.sleep(fault.seconds)
            deployment.start(name)

    def _apply_storage_fault(self, fault: Fault) -> None:
        deployment = self._deployment
        names = [*deployment.control.values()]
        name = names[fault.target % len(names)]
        if not deployment.is_running(name):
            return
        deployment.kill(name)
        if fault.kind == "lose_disk":
            deployment.lose_disk(name)
        else:
            deployment.tear_log(name, self._storage_rng)
        time.sleep(fault.seconds)
        deployment.start(name)

    def _apply_upstream_fault(self, fault: Fault) -> None:
        upstream = self._upstreams[fault.target % len(self._upstreams)]
        modes = {
            "reset": LinkMode.REFUSE,
            "silence": LinkMode.SILENT,
            "lose_back": LinkMode.LOSE_BACK,
        }

        def is_link_to_upstream(source: str, target: str) -> bool:
            return target == upstream.name

        if fault.kind in modes:
            self._proxy.set_mode(modes[fault.kind], matching=is_link_to_upstream)
            time.sleep(fault.seconds)
            self._proxy.set_mode(LinkMode.PASS, matching=is_link_to_upstream)
        elif fault.kind == "delay":
            self._proxy.set_delay(fault.seconds / 10, matching=is_link_to_upstream)
            time.sleep(fault.seconds)
            self._proxy.set_delay(0.0, matching=is_link_to_upstream)
        elif fault.kind == "end":
            upstream.crash(fault.seconds)
        elif fault.kind == "slow":
            choice = fault.target // len(self._upstreams) % len(SLOW_PART_SECONDS)
            upstream.part_seconds = SLOW_PART_SECONDS[choice]
            upstream.event_seconds = SLOW_PART_SECONDS[choice]
            upstream.sends_chunks = True
            time.sleep(fault.seconds)
            upstream.part_seconds = PART_SECONDS
            upstream.event_seconds = EVENT_SECONDS
            upstream.sends_chunks = False
        elif fault.kind == "leave":
            self._leaving.add(upstream.name)
            time.sleep(fault.seconds)
            upstream.born += 1
            self._leaving.discard(upstream.name)
        else:
            upstream.fault = fault.kind.removeprefix("upstream_")
            time.sleep(fault.seconds)
            upstream.fault = ""

    def _start_upstreams(self) -> None:
        for number, zone in enumerate(UPSTREAM_ZONES):
            name = f"u-{number}"
            upstream = Upstream(
                upstream_id=name,
                ip=self._deployment.ip(name),
                service="desk",
                zone=zone,
            )
            upstream.crash_body = CRASH_BODY
            upstream.crash_parts = frozenset({CRASH_PART})
            upstream.unframed_share = (
                UNFRAMED_SHARE_BESIDE_DRAINS if self._drains else UNFRAMED_SHARE
            )
            self._upstreams.append(upstream)
            link = self._proxy.link(LINK_SOURCE, name, upstream.address)
            upstream.on_listening = partial(
                self._proxy.set_listening, LINK_SOURCE, name
            )
            self._addresses.append(link)
        threading.Thread(target=self._send_beats, daemon=True).start()

    def _send_beats(self) -> None:
        zones = list(ZONES)
        rng = Random(f"{self._seed}/beats")
        while not self._beats_stopped.wait(BEAT_SECONDS):
            for upstream, address in zip(self._upstreams, self._addresses, strict=True):
                control = self._deployment.control_address(rng.choice(zones))
                if not upstream.is_up:
                    continue
                is_leaving = upstream.name in self._leaving
                phase: UpstreamPhase = "leaving" if is_leaving else "serving"
                try:
                    upstream.beat(control, phase, address)
                except OSError:
                    # The replica is down; the next heartbeat may go to another one.
                    continue

    def _operator(self) -> Operator:
        zones = list(ZONES)

        def put(replica: int, version: int) -> bool:
            address = self._deployment.control_address(zones[replica])
            document = self._document(version)
            answer = self._deployment.call(
                address, "PUT", configuration_path(), document, seconds=2.0
            )
            if answer.status == 200 and self._keys is not None:
                self._keys.acknowledge(time.monotonic())
            return answer.status == 200

        def read(replica: int) -> int | None:
            address = self._deployment.control_address(zones[replica])
            answer = self._deployment.call(
                address, "GET", configuration_path(), seconds=2.0
            )
            return version_of(answer.body) if answer.status == 200 else None

        return Operator(
            replicas=len(zones),
            first_version=1,
            put=put,
            read=read,
            rng=Random(f"{self._seed}/operator"),
        )

    def _read_version(self) -> int:
        answer = self._deployment.operate("GET", configuration_path())
        return version_of(answer.body)

    def _document(self, version: int) -> bytes:
        kinds: dict[str, tuple[RouteKind, bool, int]] = {
            "look": ("safe", False, 2),
            "book": ("unsafe", False, 1),
            "stream": ("streaming", False, 1),
            "resume": ("streaming", True, 2),
        }
        routes = tuple(
            Route(
                name=name,
                host=HOST,
                path_prefix=f"/{name}/",
                kind=kind,
                timeout_seconds=5.0,
                objective_seconds=0.5,
                rank=0,
                services=(ServiceWeight("desk", 1.0),),
                max_attempts=attempts,
                resumable=resumable,
                prompts=self._deadly_part,
            )
            for name, (kind, resumable, attempts) in kinds.items()
        )
        table = RouteTable(version, routes, (RoutedService("desk"),))
        if self._keys is None:
            return encode_configuration(table)
        keys_by_team = self._keys.change(time.monotonic())
        return encode_configuration(table._replace(teams=TEAMS), keys_by_team)
