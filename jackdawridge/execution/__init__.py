"""Admission, starts, leases and adoption at a side."""
