"""Raft-like consensus of the control replicas on one log."""
