"""Ordering engines to hold what the pipelines declare, by one node at a time."""
