"""Start, readiness, drain and end of an instance."""
