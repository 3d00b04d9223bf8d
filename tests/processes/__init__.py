"""Harness that runs real processes of the project for tests."""
