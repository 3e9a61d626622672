"""Distribution of configuration from the control group to the entries."""
