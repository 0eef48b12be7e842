"""Keeps a node's view up to date with the store. Of `traffic`, it imports only `sharing`, `duties` and `servers`."""
