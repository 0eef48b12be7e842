"""The protocol between nodes and model engines."""
