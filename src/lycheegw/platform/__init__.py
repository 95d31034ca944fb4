"""Adapter to the Authority platform; translates data, decides nothing."""
