"""The configuration in force: queues, caller limits and failure domains."""
