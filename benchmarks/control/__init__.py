"""Stand-in peers and measurements for the cost of control."""
