"""State of the backend servers and detection of lost ones. Imports no other package of `traffic`."""
