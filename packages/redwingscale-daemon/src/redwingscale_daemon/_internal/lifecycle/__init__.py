"""Start, readiness, drain and stop of an instance."""
