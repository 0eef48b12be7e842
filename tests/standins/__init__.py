"""Small stand-ins for the platform and the backend servers, each a process of its own."""
