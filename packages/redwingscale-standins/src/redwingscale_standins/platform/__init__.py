"""The platform: transactional table, object store, instance list, weight store."""
