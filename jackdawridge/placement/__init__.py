"""Decides which task starts at which side, and when."""
