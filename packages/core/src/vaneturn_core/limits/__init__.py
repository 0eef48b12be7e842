"""Decisions on how much work is taken in, and in which order."""
