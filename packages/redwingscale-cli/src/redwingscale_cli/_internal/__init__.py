"""The client; import nothing from here outside the package."""
