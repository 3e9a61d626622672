"""claims package."""
