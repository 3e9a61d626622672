"""A multi-region inference gateway: entry and control daemons and a client."""

__version__ = "0.1.0"

__all__ = ["__version__"]
