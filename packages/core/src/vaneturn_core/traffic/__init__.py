"""Traffic decisions on the users' platform: routes, chains of backend servers, layer placement, and limits."""
