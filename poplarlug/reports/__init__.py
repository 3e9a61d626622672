"""Reports on the service level that callers get."""
