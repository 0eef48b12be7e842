"""The process of a node on the platform: its wiring, planned stop, and figures. It may import all other rooms."""
