"""Random schedules of faults, drawn from a seed."""

import signal
import time
from collections.abc import Callable, Sequence
from random import Random

from examples.deployment import Deployment
from poplarlug.soak.proxy import FaultProxy, LinkMode

MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 2.5

Repair = Callable[[], None]


class FaultSchedule:
    """
    Inject faults one after the other, sometimes two at once.

    Parameters
    ----------
    upstreams_by_zone : dict
        Names of each zone's upstreams.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        proxy: FaultProxy,
        upstreams_by_zone: dict[str, Sequence[str]],
        rng: Random,
    ) -> None:
        self.log: list[str] = []
        self._deployment = deployment
        self._proxy = proxy
        self._rng = rng
        self._upstreams_by_zone = upstreams_by_zone
        self._entries = [vm.name for vm in deployment.topology.entries]
        self._control = [vm.name for vm in deployment.topology.control]
        self._upstreams = [n for names in upstreams_by_zone.values() for n in names]
        self._faults = [
            self._kill_entry,
            self._freeze_entry,
            self._stop_entry,
            self._kill_control,
            self._freeze_control,
            self._kill_upstream,
            self._freeze_upstream,
            self._lose_upstream_answers,
            self._cut_zone,
            self._cut_zone_one_way,
            self._cut_entry,
        ]

    def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``, then end them all."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            repairs = [self._start_fault() for _ in range(self._rng.choice((1, 1, 2)))]
            time.sleep(self._rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS))
            for repair in reversed(repairs):
                repair()
            time.sleep(self._rng.uniform(0.0, MIN_FAULT_SECONDS))
        self._proxy.heal()

    def _start_fault(self) -> Repair:
        return self._rng.choice(self._faults)()

    def _kill_entry(self) -> Repair:
        return self._kill(self._rng.choice(self._entries))

    def _kill_control(self) -> Repair:
        return self._kill(self._rng.choice(self._control))

    def _kill_upstream(self) -> Repair:
        return self._kill(self._rng.choice(self._upstreams))

    def _freeze_entry(self) -> Repair:
        return self._freeze(self._rng.choice(self._entries))

    def _freeze_control(self) -> Repair:
        return self._freeze(self._rng.choice(self._control))

    def _freeze_upstream(self) -> Repair:
        return self._freeze(self._rng.choice(self._upstreams))

    def _stop_entry(self) -> Repair:
        name = self._rng.choice(self._entries)
        self.log.append(f"SIGTERM {name}")
        self._deployment.signal(name, signal.SIGTERM)

        def repair() -> None:
            self._deployment.processes_by_name[name].wait()
            self._deployment.start(name)

        return repair

    def _lose_upstream_answers(self) -> Repair:
        name = self._rng.choice(self._upstreams)
        return self._cut(
            f"lose answers of {name}", LinkMode.LOSE_BACK, lambda s, t: t == name
        )

    def _cut_zone(self) -> Repair:
        inside = self._vms_of(self._choose_zone())
        mode = self._rng.choice((LinkMode.SILENT, LinkMode.REFUSE))
        return self._cut(
            f"cut {sorted(inside)} {mode.value}",
            mode,
            lambda s, t: self._is_vm(t) and (s in inside) != (t in inside),
        )

    def _cut_zone_one_way(self) -> Repair:
        """Drop all traffic that leaves a zone while traffic into it passes."""
        inside = self._vms_of(self._choose_zone())
        there = self._cut(
            f"lose what leaves {sorted(inside)}",
            LinkMode.LOSE_THERE,
            lambda s, t: s in inside and self._is_vm(t) and t not in inside,
        )
        back = self._cut(
            "and its answers",
            LinkMode.LOSE_BACK,
            lambda s, t: t in inside and s not in inside,
        )

        def repair() -> None:
            there()
            back()

        return repair

    def _cut_entry(self) -> Repair:
        name = self._rng.choice(self._entries)
        return self._cut(
            f"cut {name}",
            LinkMode.SILENT,
            lambda s, t: self._is_vm(t) and (s == name) != (t == name),
        )

    def _cut(
        self, what: str, mode: LinkMode, matching: Callable[[str, str], bool]
    ) -> Repair:
        self.log.append(what)
        self._proxy.set_mode(mode, matching=matching)
        return lambda: self._proxy.set_mode(LinkMode.PASS, matching=matching)

    def _kill(self, name: str) -> Repair:
        self.log.append(f"SIGKILL {name}")
        self._deployment.kill(name)

        def repair() -> None:
            if self._deployment.processes_by_name[name].poll() is not None:
                self._deployment.start(name)

        return repair

    def _freeze(self, name: str) -> Repair:
        self.log.append(f"SIGSTOP {name}")
        self._deployment.signal(name, signal.SIGSTOP)
        return lambda: self._deployment.signal(name, signal.SIGCONT)

    def _choose_zone(self) -> str:
        return self._rng.choice(sorted(self._upstreams_by_zone))

    def _vms_of(self, zone: str) -> set[str]:
        topology = self._deployment.topology
        vms = (*topology.entries, *topology.control)
        return {vm.name for vm in vms if vm.zone == zone}

    def _is_vm(self, name: str) -> bool:
        return name in self._entries or name in self._control
