"""One entry decides what starts where for several, as long as it answers."""
