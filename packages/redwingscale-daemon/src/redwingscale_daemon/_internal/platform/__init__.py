"""Names, formats and calls of the users' platform; no decisions are made here."""
