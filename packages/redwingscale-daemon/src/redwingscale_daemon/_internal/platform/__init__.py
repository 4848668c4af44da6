"""Names, formats and calls of the users' platform; nothing here decides."""
