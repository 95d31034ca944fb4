"""Tests of the adapter and of a node behind it."""
