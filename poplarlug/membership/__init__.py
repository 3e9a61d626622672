"""Who is there: entries of the zone, upstreams and other zones."""
