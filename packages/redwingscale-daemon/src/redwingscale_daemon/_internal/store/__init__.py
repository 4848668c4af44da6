"""The interface to the row store, and clients of the project's own platform service."""
