"""At-most-once execution of non-idempotent requests: claims and stored answers."""
