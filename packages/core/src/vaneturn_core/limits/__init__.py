"""Limits on admitted work and the order in which it is admitted."""
