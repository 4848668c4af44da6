"""The operators' command line client ``redwingscale``."""
