"""An upstream that names how many requests it takes, and instances in simulated time."""
