"""Stand-ins for the platform's services, for tests and the demo."""
