"""HTTP/1.1 over asyncio streams, by h11 on both sides."""
