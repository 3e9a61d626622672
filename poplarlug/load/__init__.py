"""load package."""
