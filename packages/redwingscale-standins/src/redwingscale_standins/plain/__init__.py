"""A plain service that records every call it runs."""
