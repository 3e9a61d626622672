"""Randomized soak test: real processes, injected faults and checks of guarantees."""
