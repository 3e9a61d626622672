"""HTTP API of an entry: requests, the directory and upstreams' announcements."""
