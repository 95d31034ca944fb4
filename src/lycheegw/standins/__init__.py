"""Small stand-ins for the systems around a node, with injectable faults."""
