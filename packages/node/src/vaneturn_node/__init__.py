"""Adapters and wiring of the daemon of an entry VM."""
