"""Small helpers, one topic in each module."""
