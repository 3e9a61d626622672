"""A caller's request on a route, on its way to an upstream."""

import math
from typing import NamedTuple

from poplarlug.routes import Route
from poplarlug.types import RequestId, Seconds, ServiceName, VmName


class PromptPart(NamedTuple):
    """A part of a prompt that requests may share; all before it belong to it."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """
    What a request says of its prompt and its answer.

    Parameters
    ----------
    model : str
        Empty when the request names none.
    tokens : int
        Tokens of the prompt.
    max_tokens : int
        Most tokens of the answer.
    parts : tuple of PromptPart
        In the order in which they stand in the prompt.
    """

    model: str = ""
    tokens: int = 0
    max_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()


class RelayRequest(NamedTuple):
    """
    A checked request on a route.

    Parameters
    ----------
    path : str
        Path and query as the caller sent them.
    headers : tuple
        Headers to be passed on, in their order.
    arrived : float
        Loop time at which it had come whole.
    deadline : float
        Loop time after which nobody waits for the answer.
    hops : int
        How often another entry handed it on.
    answer_by : float
        Loop time after which the entry that handed it on asks elsewhere.
    """

    id: RequestId
    route: Route
    service: ServiceName
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived: Seconds
    deadline: Seconds
    prompt: Prompt = Prompt()
    hops: int = 0
    origin: VmName = ""
    answer_by: Seconds = math.inf
