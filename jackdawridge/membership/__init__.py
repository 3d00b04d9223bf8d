"""Which entries and sides there are, and which of them answer."""
