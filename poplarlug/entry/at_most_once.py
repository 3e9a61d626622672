"""Builds the components of an entry that run requests at most once."""

import asyncio
import time
from pathlib import Path
from random import Random

from poplarlug.claims import (
    ClaimHolder,
    ClaimJournal,
    ClaimOwner,
    ClaimSettings,
    ClaimTable,
)
from poplarlug.serving.at_most_once import AtMostOnce
from poplarlug.topology import EntryVm, Topology
from poplarlug.transport import Transport


class AtMostOnceParts:
    """
    The claims that this entry holds, and the executor of requests that claim a key.

    Parameters
    ----------
    data_folder : pathlib.Path or None
        Folder in which claims are persisted across restarts; ``None`` on a VM
        without a disk.
    """

    def __init__(
        self,
        *,
        own: EntryVm,
        topology: Topology,
        transport: Transport,
        settings: ClaimSettings,
        data_folder: Path | None,
        rng: Random,
    ) -> None:
        clock = asyncio.get_running_loop().time
        table = ClaimTable(clock=clock, life_seconds=settings.life_seconds)
        journal = None
        if data_folder is not None:
            journal = ClaimJournal(folder=data_folder, wall_clock=time.time)
            journal.load_into(table)
        incarnation = f"{rng.getrandbits(64):016x}"
        self.holder = ClaimHolder(
            own=own,
            topology=topology,
            transport=transport,
            table=table,
            clock=clock,
            incarnation=incarnation,
            journal=journal,
            trust_empty_zone=settings.trust_empty_zone,
        )
        self.owner = ClaimOwner(
            incarnation=incarnation,
            topology=topology,
            transport=transport,
            holder=self.holder,
            clock=clock,
            rng=rng,
        )
        self.executor = AtMostOnce(owner=self.owner, topology=topology, rng=rng)
