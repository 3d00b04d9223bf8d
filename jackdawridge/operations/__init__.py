"""HTTP for operators, metrics and status."""
