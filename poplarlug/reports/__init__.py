"""reports package."""
