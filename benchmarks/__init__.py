"""Benchmark scripts that print measurements, with bounded duration and counts."""
