"""Exchange of state between nodes. Of the packages of `traffic`, it imports only `servers`."""
