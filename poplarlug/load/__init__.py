"""Experiments on routing and admission: workloads, faults and measures."""
