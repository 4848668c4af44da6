"""Small value types that several folders share."""
