"""What several commands do."""
