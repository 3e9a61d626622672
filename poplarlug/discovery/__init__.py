"""Discovery of entries and upstreams through seed addresses, without a VM list."""
