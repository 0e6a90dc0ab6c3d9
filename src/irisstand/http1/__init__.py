"""HTTP/1.1 messages byte by byte: what of a request's head and body is taken, and how sanic is held to it."""
