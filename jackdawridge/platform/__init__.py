"""Adapters to the users' platform, which make no decisions of their own."""
