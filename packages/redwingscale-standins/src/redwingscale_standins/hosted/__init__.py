"""Stand-ins for a platform that lists upstreams and stores rows: its row store and a model worker."""
