"""Small helpers, one topic a module."""
