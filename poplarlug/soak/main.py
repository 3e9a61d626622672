"""Entry point of ``poplarlug-soak``."""

import json
import shutil
import sys
from pathlib import Path

import fire

from poplarlug.soak.run import ENTRY_ZONES, SoakRun

KEPT_FOLDER = "soak-failed"


def soak(
    seeds: int = 5,
    first: int = 1,
    seconds: float = 15.0,
    folder: str = "run/soak",
    deadly: bool = False,
    deadly_part: bool = False,
    limits: bool = False,
    drains: bool = False,
    teams: bool = False,
    entries: int = len(ENTRY_ZONES),
) -> None:
    """
    Run real processes under randomly drawn faults and check the guarantees.

    Prints one JSON line per seed. If a seed violates a guarantee, its logs are kept
    in FOLDER/soak-failed and the exit status is 1.

    Parameters
    ----------
    seeds, first : int
        Number of seeds, and the first seed.
    seconds : float
        Duration of the fault injection; each run takes about 25 s longer.
    folder : str
        Directory for settings, data and logs.
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
        Number of entries, spread over the zones. Each takes some 50 MB; all processes
        together should take no more than half of the memory.
    """
    base = Path(folder).resolve()
    failed = 0
    for seed in range(first, first + seeds):
        run_folder = base / f"seed-{seed}"
        shutil.rmtree(run_folder, ignore_errors=True)
        run = SoakRun(
            seed=seed,
            seconds=seconds,
            folder=run_folder,
            deadly=deadly,
            deadly_part=deadly_part,
            limits=limits,
            drains=drains,
            teams=teams,
            entries=entries,
        )
        report = run.execute()
        print(json.dumps(report._asdict()), flush=True)
        if report.broken:
            failed += 1
            kept_folder = base / KEPT_FOLDER / f"seed-{seed}"
            shutil.rmtree(kept_folder, ignore_errors=True)
            kept_folder.parent.mkdir(parents=True, exist_ok=True)
            run_folder.rename(kept_folder)
            (kept_folder / "report.json").write_text(
                json.dumps(report._asdict(), indent=1)
            )
            (kept_folder / "faults.json").write_text(
                json.dumps([fault._asdict() for fault in run.faults], indent=1)
            )
        else:
            shutil.rmtree(run_folder, ignore_errors=True)
    if failed:
        print(f"{failed} of {seeds} seeds broke a promise", file=sys.stderr)
        raise SystemExit(1)


def main() -> None:
    """Run ``poplarlug-soak``."""
    fire.Fire(soak)


if __name__ == "__main__":
    main()
