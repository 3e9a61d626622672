"""The Raft-like agreement of the control replicas on one log."""
