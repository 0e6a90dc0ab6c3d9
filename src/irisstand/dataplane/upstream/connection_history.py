"""What a connection to an origin has carried, by which a response is known to belong to one request alone."""


class ConnectionHistory:
    """The ids of the requests that a connection has carried.

    Attributes:
        carried_count: The number of requests that the connection has carried.
    """

    def __init__(self) -> None:
        self.carried_count = 0
        # Hashes instead of the ids, which may be long. Equal hashes of two ids only look like a repetition.
        self._carried_hashes: set[int] = set()

    def add(self, request_id: str) -> None:
        """Add a request that the connection is about to carry."""
        self.carried_count += 1
        self._carried_hashes.add(hash(request_id))

    def has_carried(self, request_id: str) -> bool:
        """Return whether the connection has carried a request with this id, or one without an id for ""."""
        return hash(request_id) in self._carried_hashes
