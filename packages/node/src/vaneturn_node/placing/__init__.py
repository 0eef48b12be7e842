"""Orders that make engines hold the declared parts of pipelines, sent by one node at a time."""
