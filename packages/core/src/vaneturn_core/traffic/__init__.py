"""Decisions on the traffic of the users' platform: routes, chains of backend servers, what each one holds, limits."""
