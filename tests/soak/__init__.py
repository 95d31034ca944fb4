"""Randomized fault soak over nodes that run as separate processes."""
