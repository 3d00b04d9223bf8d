"""Which side gets which task, and when."""
