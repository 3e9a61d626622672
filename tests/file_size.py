"""Limits on the size of files, which make real writes fail or end early."""

import resource
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def file_size_limit(size: int) -> Iterator[None]:
    """Let this process write no file larger than ``size`` bytes."""
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
