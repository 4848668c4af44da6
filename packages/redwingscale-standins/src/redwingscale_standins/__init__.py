"""Stand-ins for the platform, the engines and a plain service.

They are small, keep everything in memory and are never shipped to production.
"""
