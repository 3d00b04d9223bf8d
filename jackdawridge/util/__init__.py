"""Helpers that depend on no other package of the system."""
