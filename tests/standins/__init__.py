"""Small stand-ins for the platform and the backend servers, each run as a separate process."""
