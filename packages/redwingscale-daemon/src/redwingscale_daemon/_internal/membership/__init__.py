"""Links between instances, which carry heartbeats and versioned entries."""
