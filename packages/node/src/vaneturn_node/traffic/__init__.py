"""The traffic of the users' platform: from a client's connection to the backend servers and back."""
