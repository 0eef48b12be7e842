"""The configuration that operators declare: schema, cross-checks and encoding."""
