"""How many requests an entry can take at once, compared with a nominal VM."""

from typing import NamedTuple

from poplarlug.seeded_settings import VmSize

UNKNOWN_ROOM = 1.0
MIN_ROOM = 0.001
MAX_ROOM = 1000.0


class NominalVm(NamedTuple):
    """
    Resources that serve the same number of requests, each on its own.

    Parameters
    ----------
    idle_memory_mb, idle_files : float
        Memory and descriptors that a process needs before its first request.
    """

    nominal_cores: float = 1.0
    memory_mb: float = 256.0
    max_files: float = 4096.0
    link_mbps: float = 10.0
    idle_memory_mb: float = 64.0
    idle_files: float = 64.0


NOMINAL_VM = NominalVm()


def room_of(vm: VmSize | None) -> float:
    """
    Return what an entry on ``vm`` can take at once; 1 for a nominal VM.

    The processor decides, unless another resource is used up earlier.
    """
    if vm is None:
        return UNKNOWN_ROOM
    nominal = NOMINAL_VM
    memory_mb = vm.memory_mb - nominal.idle_memory_mb
    files = vm.max_files - nominal.idle_files
    room = min(
        vm.nominal_cores / nominal.nominal_cores,
        memory_mb / (nominal.memory_mb - nominal.idle_memory_mb),
        files / (nominal.max_files - nominal.idle_files),
        vm.link_mbps / nominal.link_mbps,
    )
    return round(min(max(room, MIN_ROOM), MAX_ROOM), 3)
