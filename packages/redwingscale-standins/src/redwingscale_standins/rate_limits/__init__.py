"""An upstream with a rate limit, and instances in simulated time."""
