"""Bytes on the wire: HTTP, frames between controllers, and connections."""


class TransportError(Exception):
    """Base of the errors of exchanges with users, workers, services and peers."""
