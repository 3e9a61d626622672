"""Sizes limits on clients by the resources of the VM."""

from poplarlug.callers.client_memory import DEFAULT_BYTES
from poplarlug.callers.connections import HttpLimits
from poplarlug.seeded_settings import VmSize

MEGABYTE = 1024 * 1024

MIN_BYTES = 10 * MEGABYTE
"""Room for two bodies of usual limits."""

OTHER_BYTES = 80 * MEGABYTE
"""What a process takes besides: code and state, and answers that are held."""

CONNECTION_BYTES = 32 * 1024
"""What an open connection takes besides the bytes of its client."""

CLIENTS_FILES_SHARE = 0.5
"""Share of the descriptors that clients' connections may take together."""

MIN_CONNECTIONS = 16


def client_bytes(vm: VmSize | None) -> int:
    """
    Return how many bytes of clients a process may hold.

    A request's body takes as much again while it is sent on, so that half of what is
    free is for clients.
    """
    if vm is None:
        return DEFAULT_BYTES
    connections = vm.max_files * CLIENTS_FILES_SHARE * CONNECTION_BYTES
    free = int(vm.memory_mb * MEGABYTE - OTHER_BYTES - connections)
    return max(MIN_BYTES, free // 2)


def limit_connections(
    limits: HttpLimits, vm: VmSize | None, files_share: float
) -> HttpLimits:
    """
    Return ``limits`` with no more connections than a share of the VM's descriptors.

    Parameters
    ----------
    files_share : float
        Share of the descriptors for these connections, from 0 to 1.
    """
    if vm is None:
        return limits
    count = max(MIN_CONNECTIONS, int(vm.max_files * files_share))
    return limits._replace(max_connections=min(limits.max_connections, count))
