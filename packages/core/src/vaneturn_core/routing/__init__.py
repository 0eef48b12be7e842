"""Choice of the backend servers that run the layers of an answer."""
