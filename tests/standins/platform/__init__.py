"""Stand-ins for the users' platform, by its published protocol: store, backend servers, operator."""
