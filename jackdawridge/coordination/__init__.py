"""Joint placement: one entry, the lead, places the tasks of several entries."""
