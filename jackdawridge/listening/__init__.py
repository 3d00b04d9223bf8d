"""HTTP listeners: connections, limits on what clients send, and refusals."""
