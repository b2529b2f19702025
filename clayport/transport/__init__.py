"""Bytes on the wire: HTTP, frames between controllers, and connections."""
