"""Value types that several packages share."""
