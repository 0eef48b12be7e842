"""Serves client requests over the backend servers. Of its sibling packages it imports only `servers`."""
