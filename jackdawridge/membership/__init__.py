"""Cluster membership and failure detection for entries and sides."""
