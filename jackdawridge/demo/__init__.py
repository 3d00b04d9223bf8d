"""A small deployment in one process that demonstrates the whole system."""
