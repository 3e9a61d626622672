"""Times of elections, heartbeats and the lease."""

MIN_ELECTION_TIMEOUT_SECONDS = 0.8
MAX_ELECTION_TIMEOUT_SECONDS = 1.6
"""Seven round trips between regions of 55 ms one way, and four heartbeats."""

HEARTBEAT_SECONDS = 0.2
MAX_CLOCK_DRIFT = 0.1
"""Largest difference in rate between the clocks of two replicas, as a share."""

LEASE_SECONDS = MIN_ELECTION_TIMEOUT_SECONDS * (1 - MAX_CLOCK_DRIFT)
"""How long after a heartbeat was sent its receivers elect no other leader."""

DISK_RETRY_SECONDS = 0.5
"""Pause after the disk refused a write; shorter than the timeout of a leader's
request, which is answered after it."""

VOTE_TIMEOUT_SECONDS = 1.0
APPEND_TIMEOUT_SECONDS = 1.0
IDENTITY_TIMEOUT_SECONDS = 1.0
