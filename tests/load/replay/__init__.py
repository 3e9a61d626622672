"""Tests of replays of load patterns."""
