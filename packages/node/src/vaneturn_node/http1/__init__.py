"""HTTP/1.1 over h11 and anyio, for uses that must know what was sent, what was received and how it ended."""
