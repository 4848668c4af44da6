"""Which upstream an attempt goes to."""
