"""HTTP clients of the instances."""
