"""HTTP/1.1 over h11 and anyio, where it must be known what was sent, what came and how it ended."""
