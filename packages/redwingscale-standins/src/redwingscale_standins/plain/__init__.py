"""Stand-in for a plain HTTP service, which records every call that it runs."""
