"""Links to model engines."""
