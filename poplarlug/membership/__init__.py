"""Membership: the entries and upstreams of the zone, and the other zones."""
