"""Scheduled floods and faults."""

from typing import Literal, NamedTuple, TypeAlias

from poplarlug.types import RankName, ZoneName

FaultKind: TypeAlias = Literal["flood", "loss", "cut"]


class Fault(NamedTuple):
    """
    One scheduled fault.

    Parameters
    ----------
    kind : FaultKind
        ``flood`` of requests of a rank, ``loss`` of half of a zone's engines, or
        ``cut``, a partition of a zone from all others.
    starts, ends : float
        Start and end, as fractions of the run.
    factor : float
        For a flood: offered load of the rank, as a multiple of the total capacity.
    """

    kind: FaultKind
    starts: float
    ends: float
    rank: RankName = ""
    zone: ZoneName = ""
    factor: float = 0.0


class Scenario(NamedTuple):
    """Faults of one run; zones are identified by their index in the plan."""

    name: str
    faults: tuple[Fault, ...] = ()

    def active(self, kind: FaultKind, share: float) -> list[Fault]:
        """Return the active faults of ``kind`` after the fraction ``share`` of a run."""
        return [f for f in self.faults if f.kind == kind and f.starts <= share < f.ends]


FLOOD_STARTS = 0.4
FLOOD_ENDS = 0.7
_PATIENT_FLOOD = Fault("flood", FLOOD_STARTS, FLOOD_ENDS, "patient", factor=5.0)
_URGENT_FLOOD = Fault("flood", FLOOD_STARTS, FLOOD_ENDS, "urgent", factor=5.0)
_LOSS = Fault("loss", FLOOD_STARTS, FLOOD_ENDS, zone="0")
_CUT = Fault("cut", FLOOD_STARTS, FLOOD_ENDS, zone="0")

SCENARIOS_BY_NAME = {
    scenario.name: scenario
    for scenario in (
        Scenario("normal-day"),
        Scenario("patient-flood", (_PATIENT_FLOOD,)),
        Scenario("urgent-flood", (_URGENT_FLOOD,)),
        Scenario("region-loss", (_LOSS,)),
        Scenario("cut-and-heal", (_CUT,)),
        Scenario("flood-and-loss", (_PATIENT_FLOOD, _LOSS)),
        Scenario("flood-and-cut", (_PATIENT_FLOOD, _CUT)),
    )
}
