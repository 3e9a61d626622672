"""The path of a request: attempts at upstreams, forwards, answers."""
