"""clayport: a cluster scheduler that places tasks from a cached state of free room."""

__version__ = "0.2.0"
