"""Small fake engines and services for tests and the demo."""
