"""The callers' HTTP face: requests, directory, announcements."""
