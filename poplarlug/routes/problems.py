"""Problems of route tables."""

from typing import NamedTuple


class RouteProblem(NamedTuple):
    """A problem in a route table; ``path`` locates it in the JSON document."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"
