"""Claims and kept outcomes of non-idempotent requests."""
