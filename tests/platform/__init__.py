"""Tests of the platform adapter and of nodes that use it."""
