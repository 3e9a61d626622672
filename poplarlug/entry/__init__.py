"""The entry daemon, for a fixed topology or for one discovered through seeds."""
