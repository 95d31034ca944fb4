"""Typed records and in-memory tables of a node; no input or output."""
