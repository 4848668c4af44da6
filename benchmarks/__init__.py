"""Small programs that measure the product; each prints its points as JSON."""
