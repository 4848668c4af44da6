"""The store as the product sees it, and the client of the project's own platform service."""
