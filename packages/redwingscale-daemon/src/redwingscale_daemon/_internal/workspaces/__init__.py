"""API keys of workspaces, and the limits of each workspace's use."""
