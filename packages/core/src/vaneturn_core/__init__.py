"""Domain types, configuration schema and decision logic; does not import HTTP, ZeroMQ or Prometheus libraries."""
