"""Settings of two example deployments, and a demo."""
