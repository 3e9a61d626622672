"""The control group: a replicated log of the configuration and its service."""
