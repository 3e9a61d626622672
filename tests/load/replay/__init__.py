"""Tests of load pattern replays."""
