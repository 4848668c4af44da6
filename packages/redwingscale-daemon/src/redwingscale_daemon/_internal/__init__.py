"""The daemon; import nothing from here outside the package."""
