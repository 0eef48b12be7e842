"""Starts stand-ins and nodes as processes on loopback, for tests, the demo and the measurements."""
