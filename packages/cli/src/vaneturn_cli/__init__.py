"""Operators' command line."""
