"""Stand-ins for a platform that lists upstreams: its row store and a model worker."""
