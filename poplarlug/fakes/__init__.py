"""Small stand-ins of engines and services for tests and the demo."""
