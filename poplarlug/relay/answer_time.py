"""Whether a stream can end before its caller's deadline."""

import math
from typing import NamedTuple

from poplarlug.types import Seconds

LENGTH_ERROR = 0.6
"""Standard deviation of the logarithm of a response's length over its estimate: half of the
responses are longer than estimated, one in eight twice as long."""

MIN_END_PROBABILITY = 0.05
"""A stream less likely to end in time wherever it may run is refused: a wrong refusal costs
its caller more than a late response."""


class ExpectedAnswer(NamedTuple):
    """
    Length of a response according to its caller, and the time that it may take.

    Load pattern: streams of very different lengths at engines of different speeds. At a
    slow engine with a full batch, a long one takes longer than its deadline allows, and
    keeps a slot until then for nothing.

    Parameters
    ----------
    tokens : int
        The caller's estimate, right at the median.
    max_tokens : int
        The most that the response can have.
    seconds_left : float
        Time until the deadline.
    """

    tokens: int
    max_tokens: int
    seconds_left: Seconds

    def end_probability(self, first: Seconds, token_seconds: Seconds) -> float:
        """
        Return the probability that the response is complete before the deadline.

        Parameters
        ----------
        first : float
            Expected time to its first event.
        token_seconds : float
            Time between two tokens; 0 if unknown, when it is taken to end in time.
        """
        if token_seconds <= 0:
            return 1.0
        possible = (self.seconds_left - first) / token_seconds
        if possible >= self.max_tokens > 0:
            return 1.0
        if possible < 1:
            return 0.0
        deviations = math.log(possible / self.tokens) / LENGTH_ERROR
        return 0.5 * (1 + math.erf(deviations / math.sqrt(2)))
