"""Routes: which service a request is sent to, and under which rules."""
