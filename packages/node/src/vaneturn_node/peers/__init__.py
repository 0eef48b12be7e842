"""Traffic between nodes: probes and tellings over UDP, requests over ZeroMQ."""
