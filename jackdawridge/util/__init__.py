"""Leaf helpers without knowledge of the system."""
