"""Value types of the client."""
