"""Replays of load patterns against the relay's placement in virtual time."""
