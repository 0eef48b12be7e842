"""Limits on the work that a node takes in."""
