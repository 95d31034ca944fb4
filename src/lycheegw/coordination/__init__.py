"""Policies of nodes: routing, limits, recovery and their coordination."""
