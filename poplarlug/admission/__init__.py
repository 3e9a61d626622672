"""admission package."""
