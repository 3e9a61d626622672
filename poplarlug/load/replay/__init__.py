"""Replays of load patterns against the relay's decisions, in virtual time."""
