"""Stand-ins for a platform that lists upstreams and keeps rows: its store and a model worker."""
