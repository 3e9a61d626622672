"""Names of the HTTP headers exchanged by callers, upstreams and entries."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """
    HTTP header names used by a deployment.

    Parameters
    ----------
    request_id : str
        Identifies one attempt of a caller; echoed by upstreams.
    deadline : str
        Milliseconds that the sender will keep waiting.
    expected_upstream : str
        Id of the upstream that the request is intended for; any other refuses it.
    signature : str
        Marks a response as coming from an upstream.
    not_executed : str
        Set by an upstream that refused a request without running it.
    cold_left : str
        Milliseconds for which an upstream remains cold, in health responses.
    limit : str
        Requests per second that an upstream accepts from all entries together, set
        in its responses while the limit is in force.
    leaving : str
        Set to ``1`` by an upstream that leaves, in all of its responses.
    resumes : str
        Id of the caller's attempt that received the first event of a stream that
        this attempt resumes.
    priority : str
        Priority of a request at an engine, from 0 (most urgent) to 9.
    weight_versions : str
        Version of the weights, also the first line, in lower case, of an event at
        which it changes.
    team : str
        Name of the caller's team, set for upstreams where there are teams.
    key_scheme : str
        The word before a caller's key in its Authorization header.
    model, token_counts, prompt_parts : str
        Description of the prompt by the caller.
    length_hint : str
        The caller's estimate of the response's tokens.
    reserved : frozenset of str
        Lower-case names of headers that are dropped from callers' requests.
    """

    request_id: str = "X-Request-Id"
    deadline: str = "X-Deadline-Ms"
    expected_upstream: str = "X-Expected-Upstream"
    signature: str = "X-Upstream-Signature"
    not_executed: str = "X-Not-Executed"
    cold_left: str = "X-Cold-Ms"
    limit: str = "X-Rate-Limit"
    leaving: str = "X-Upstream-Leaving"
    resumes: str = "X-Resumes"
    priority: str = "X-Priority"
    weight_versions: str = "X-Weight-Versions"
    team: str = "X-Team"
    key_scheme: str = "Bearer"
    model: str = "X-Model"
    token_counts: str = "X-Token-Counts"
    prompt_parts: str = "X-Prompt-Parts"
    length_hint: str = "X-Length-Hint"
    reserved: frozenset[str] = frozenset({"x-expected-upstream", "x-priority"})
