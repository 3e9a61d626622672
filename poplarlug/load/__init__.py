"""Routing and admission experiments: workloads, faults and measures."""
