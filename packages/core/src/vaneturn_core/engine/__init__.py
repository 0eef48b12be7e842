"""The protocol of model engines."""
