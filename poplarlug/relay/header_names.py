"""Names of the headers that callers, upstreams and entries exchange."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """
    Header names of a deployment.

    Parameters
    ----------
    request_id : str
        Identifies one attempt of a caller; echoed by upstreams.
    deadline : str
        Milliseconds that the sender will still wait.
    expected_upstream : str
        Id of the upstream that a request is meant for; any other refuses it.
    signature : str
        Marks an answer as an upstream's.
    not_executed : str
        Set by an upstream that refused a request without running it.
    cold_left : str
        Milliseconds that an upstream stays cold, in health answers.
    limit : str
        Requests a second that an upstream takes from all entries together, set in
        its answers for as long as that holds.
    priority : str
        Rank of a request towards an engine, 0 to 9, 0 the most urgent.
    model, token_counts, prompt_parts : str
        What a caller says of its prompt.
    reserved : frozenset of str
        Lower-case names that callers may not set; they are dropped.
    """

    request_id: str = "X-Request-Id"
    deadline: str = "X-Deadline-Ms"
    expected_upstream: str = "X-Expected-Upstream"
    signature: str = "X-Upstream-Signature"
    not_executed: str = "X-Not-Executed"
    cold_left: str = "X-Cold-Ms"
    limit: str = "X-Rate-Limit"
    priority: str = "X-Priority"
    model: str = "X-Model"
    token_counts: str = "X-Token-Counts"
    prompt_parts: str = "X-Prompt-Parts"
    reserved: frozenset[str] = frozenset({"x-expected-upstream", "x-priority"})
