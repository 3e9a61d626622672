"""Entry point of ``poplarlug-soak``."""

import json
import shutil
import sys
from pathlib import Path

import fire

from poplarlug.soak.run import SoakRun

KEPT_FOLDER = "soak-failed"


def soak(
    seeds: int = 5,
    first: int = 1,
    seconds: float = 15.0,
    folder: str = "run/soak",
    deadly: bool = False,
    limits: bool = False,
) -> None:
    """
    Run real processes under faults that seeds draw, and check the promises.

    Prints one JSON line a seed. Logs of a seed that broke a promise are kept in
    FOLDER/soak-failed; the exit status is 1 then.

    Parameters
    ----------
    seeds, first : int
        How many seeds, beginning with the first.
    seconds : float
        How long faults come; each run takes about 25 s more.
    folder : str
        Where settings, data and logs go.
    deadly : bool
        Whether one caller insists on a request that ends the upstreams that run it.
    limits : bool
        Whether some upstreams name limits for a while.
    """
    base = Path(folder).resolve()
    failed = 0
    for seed in range(first, first + seeds):
        own = base / f"seed-{seed}"
        shutil.rmtree(own, ignore_errors=True)
        run = SoakRun(
            seed=seed, seconds=seconds, folder=own, deadly=deadly, limits=limits
        )
        report = run.play()
        print(json.dumps(report._asdict()), flush=True)
        if report.broken:
            failed += 1
            kept = base / KEPT_FOLDER / f"seed-{seed}"
            shutil.rmtree(kept, ignore_errors=True)
            kept.parent.mkdir(parents=True, exist_ok=True)
            own.rename(kept)
            (kept / "report.json").write_text(json.dumps(report._asdict(), indent=1))
            (kept / "faults.json").write_text(
                json.dumps([fault._asdict() for fault in run.faults], indent=1)
            )
        else:
            shutil.rmtree(own, ignore_errors=True)
    if failed:
        print(f"{failed} of {seeds} seeds broke a promise", file=sys.stderr)
        raise SystemExit(1)


def main() -> None:
    """Run ``poplarlug-soak``."""
    fire.Fire(soak)


if __name__ == "__main__":
    main()
