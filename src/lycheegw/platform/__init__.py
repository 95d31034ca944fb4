"""Adapter to the Authority platform: translates, and decides nothing."""
