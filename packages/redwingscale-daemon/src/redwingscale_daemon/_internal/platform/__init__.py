"""Client of the platform: table, object store, member list."""
