"""What a connection to an origin has carried, by which a response is known to belong to one request alone."""

# A connection is replaced after so many requests, which bounds the memory of its history.
REQUESTS_LIMIT = 1000


class ConnectionHistory:
    """The ids of the requests that a connection has carried.

    An origin may answer a request twice, the second time late and on the same connection. A response is told
    from those to earlier requests by its id, so no id is carried twice. A response to a request without an id
    is only told from others if it is the first one on its connection.

    Attributes:
        carried_count: The number of requests that the connection has carried.
    """

    def __init__(self) -> None:
        self.carried_count = 0
        # Hashes instead of the ids, which may be long. Equal hashes of two ids only look like a repetition.
        self._carried_hashes: set[int] = set()

    @property
    def is_full(self) -> bool:
        """Whether the connection has carried as many requests as its history holds."""
        return self.carried_count >= REQUESTS_LIMIT

    def add(self, request_id: str) -> None:
        """Add a request that the connection is about to carry."""
        self.carried_count += 1
        self._carried_hashes.add(hash(request_id))

    def has_carried(self, request_id: str) -> bool:
        """Return whether the connection has carried a request with this id."""
        return hash(request_id) in self._carried_hashes

    def may_carry(self, request_id: str) -> bool:
        """Return whether the response to a request can be told from those to the requests before.

        Args:
            request_id: The id of the request; empty if it has none.
        """
        if not self.carried_count:
            return True
        return bool(request_id) and not self.is_full and not self.has_carried(request_id)
