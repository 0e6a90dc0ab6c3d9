"""The grammar of HTTP/1.1 messages, the parsing of request heads by it, and its enforcement in Sanic."""
