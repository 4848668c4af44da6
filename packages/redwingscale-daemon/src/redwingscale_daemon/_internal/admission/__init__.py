"""Which requests are taken, and which are refused at once."""
