"""Thin command-line modules."""
