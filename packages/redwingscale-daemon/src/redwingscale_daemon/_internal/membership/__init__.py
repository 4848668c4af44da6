"""Links between instances: heartbeats and versioned entries."""
