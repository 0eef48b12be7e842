"""Domain types, configuration schema and decisions; imports no HTTP, ZeroMQ or Prometheus."""
