"""Measures the router against its targets and against baselines."""
