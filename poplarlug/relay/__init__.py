"""Serves requests by route: admission, placement, attempts and response relaying."""
