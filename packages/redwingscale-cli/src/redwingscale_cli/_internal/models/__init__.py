"""Small value types of the client."""
