"""Real processes for tests."""
