"""Jackdawridge: a dispatcher for sub-second tasks."""
