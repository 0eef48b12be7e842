"""Decisions on what each engine holds."""
