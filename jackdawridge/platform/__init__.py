"""Adapters between the scheduler and the platform that the users run it on."""
