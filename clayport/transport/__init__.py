"""Network transport: HTTP/1.1, binary frames between controllers, and their connections."""


class TransportError(Exception):
    """Base class of errors in exchanges with users, workers, services and peers."""
