"""Settings of two deployments and the demo."""
