"""Fleets and workloads of example deployments."""

from typing import NamedTuple

from poplarlug.catalog import Account, Rank
from poplarlug.fakes.emulator import EngineProfile
from poplarlug.types import ModelName, RegionName, Seconds, ZoneName

MODEL: ModelName = "corn-7b"
URGENT = Rank("urgent", priority=0, target_seconds=10.0, floor_share=0.0)
PATIENT = Rank("patient", priority=1, target_seconds=90.0, floor_share=0.2)

ENGINE = EngineProfile(
    batch_limit=16,
    kv_tokens=120_000,
    cache_blocks=1500,
    prefill_tokens_per_second=8000.0,
    token_seconds=0.02,
    token_seconds_per_sequence=0.0005,
    first_token_seconds=0.02,
    load_lag_seconds=0.5,
    event_delay_seconds=1.0,
    event_loss=0.05,
    step_seconds=0.05,
)


class ZonePlan(NamedTuple):
    """
    Zone of a fleet.

    Parameters
    ----------
    engines : tuple of int
        Batch limit of each engine.
    peak : float
        Time of the daily peak, as a fraction of the day.
    demand : float
        Fraction of the fleet's requests that originate in this zone.
    """

    zone: ZoneName
    region: RegionName
    engines: tuple[int, ...]
    peak: float
    demand: float


class WorkKind(NamedTuple):
    """
    Class of requests.

    Parameters
    ----------
    share : float
        Fraction of the total load, measured in slot time.
    instruction_tokens : int
        Length of the prefix shared by all requests of an account.
    document_tokens : (int, int)
        Bounds of the length of a document, such as a chat history or a log.
    document_uses : (int, int)
        Bounds of the number of requests that share a document.
    answer_tokens : (int, int)
        Bounds of the length of an answer.
    """

    rank: Rank
    share: float
    instruction_tokens: int
    document_tokens: tuple[int, int]
    document_uses: tuple[int, int]
    answer_tokens: tuple[int, int]


class DeploymentPlan(NamedTuple):
    """
    Deployment used in experiments.

    Parameters
    ----------
    load : float
        Mean fraction of the fleet's slots in use.
    swing : float
        Amplitude of the daily cycle, as a fraction of the mean rate.
    home_bound : float
        Fraction of accounts whose data may not leave the home region.
    """

    name: str
    zones: tuple[ZonePlan, ...]
    kinds: tuple[WorkKind, ...]
    profile: str
    entries_per_zone: int = 3
    accounts_per_zone: int = 6
    load: float = 0.4
    swing: float = 0.5
    home_bound: float = 0.17
    day_seconds: Seconds = 300.0

    def slots(self) -> int:
        return sum(sum(zone.engines) for zone in self.zones)

    def accounts(self, zone: ZonePlan) -> tuple[Account, ...]:
        """Return the accounts whose home is ``zone``."""
        regions = tuple(dict.fromkeys(plan.region for plan in self.zones))
        bound = round(self.home_bound * self.accounts_per_zone)
        return tuple(
            Account(
                name=f"{zone.zone}-{index}",
                home_region=zone.region,
                regions=(zone.region,) if index < bound else regions,
                models=(MODEL,),
                profile="cost" if self.profile == "cost" else "urgent_tail",
            )
            for index in range(self.accounts_per_zone)
        )


CHAT = WorkKind(URGENT, 0.6, 640, (128, 1600), (2, 6), (40, 200))
LOG_SUMMARY = WorkKind(PATIENT, 0.4, 384, (2000, 7000), (1, 3), (150, 500))
FITTER_QUESTION = WorkKind(URGENT, 0.5, 1280, (64, 600), (1, 3), (40, 160))
NIGHT_QUOTE = WorkKind(PATIENT, 0.5, 640, (3000, 8000), (1, 2), (250, 700))

CASCARA_VERDE = DeploymentPlan(
    name="cascara-verde",
    zones=(
        ZonePlan("quito-a", "sierra-norte", (16, 16), 0.35, 0.4),
        ZonePlan("cuenca-a", "austro", (16,), 0.5, 0.2),
        ZonePlan("guayaquil-a", "costa", (16, 16), 0.65, 0.4),
    ),
    kinds=(CHAT, LOG_SUMMARY),
    profile="cost",
)
MARKISENWERK = DeploymentPlan(
    name="markisenwerk",
    zones=(
        ZonePlan("oberbayern-a", "oberbayern", (16, 16), 0.3, 0.4),
        ZonePlan("franken-a", "franken", (16, 16), 0.5, 0.4),
        ZonePlan("schwaben-a", "schwaben", (16,), 0.7, 0.2),
    ),
    kinds=(FITTER_QUESTION, NIGHT_QUOTE),
    profile="urgent_tail",
)
TENFOLD = CASCARA_VERDE._replace(
    name="tenfold",
    zones=(
        ZonePlan("large-a", "large", (40, 40), 0.35, 0.8),
        ZonePlan("middle-a", "middle", (16,), 0.5, 0.12),
        ZonePlan("small-a", "small", (8,), 0.65, 0.08),
    ),
    profile="urgent_tail",
)
PLANS_BY_NAME = {plan.name: plan for plan in (CASCARA_VERDE, MARKISENWERK, TENFOLD)}
