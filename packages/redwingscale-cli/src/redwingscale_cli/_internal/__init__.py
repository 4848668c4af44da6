"""Implementation of the client; not for import from other packages."""
