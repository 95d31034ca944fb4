"""Network servers and clients: HTTP, peer streams, platform and metrics."""
