"""Request handling: attempts at upstreams, forwarding and answer delivery."""
