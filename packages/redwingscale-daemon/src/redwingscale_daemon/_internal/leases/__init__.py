"""Sessions, ownership and fencing numbers in the platform's table."""
