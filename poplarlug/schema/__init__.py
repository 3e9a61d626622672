"""The operators' schema and the code generated from it."""
