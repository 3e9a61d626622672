"""Durations of elections, heartbeats and the lease."""

MIN_ELECTION_TIMEOUT_SECONDS = 0.8
MAX_ELECTION_TIMEOUT_SECONDS = 1.6
"""The minimum covers seven round trips between regions, at 55 ms one way, and four
heartbeats."""

HEARTBEAT_SECONDS = 0.2
MAX_CLOCK_DRIFT = 0.1
"""Maximum relative difference in rate between the clocks of two replicas."""

LEASE_SECONDS = MIN_ELECTION_TIMEOUT_SECONDS * (1 - MAX_CLOCK_DRIFT)
"""How long after sending a heartbeat the leader can rely on its receivers electing no
other leader."""

DISK_RETRY_SECONDS = 0.5
"""Delay after a failed write; shorter than the timeout of a leader's request, which is
answered only after this delay."""

VOTE_TIMEOUT_SECONDS = 1.0
APPEND_TIMEOUT_SECONDS = 1.0
IDENTITY_TIMEOUT_SECONDS = 1.0
