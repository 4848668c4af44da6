"""A randomized soak: real instances, faults from outside, and checks while it runs."""
