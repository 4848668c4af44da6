"""Platform stand-in: transactional table, object store, member list and weight store."""
