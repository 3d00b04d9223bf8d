"""Stand-in peers and real processes for the control cost benchmark."""
