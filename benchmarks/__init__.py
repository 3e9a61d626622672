"""Benchmarks: scripts that print figures, bounded in time and count."""
