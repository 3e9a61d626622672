"""Serves requests by route: admission, placement, attempts and relayed answers."""
