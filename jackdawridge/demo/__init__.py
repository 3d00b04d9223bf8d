"""A small deployment in one process that shows the whole path."""
