"""Tests that compare transcripts of whole sessions with golden files."""
