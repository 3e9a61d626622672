"""Who is there where no list of VMs exists: entries and upstreams, found by seeds."""
