"""The operators' declarations: schema, cross-checks and encoding."""
