"""Decisions on requests that must run at most once."""
