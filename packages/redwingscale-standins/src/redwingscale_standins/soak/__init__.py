"""A randomized soak test of real instances, with injected faults and checks."""
