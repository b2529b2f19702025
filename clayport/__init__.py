"""clayport: a cluster scheduler placing work from a cached state of free room."""

__version__ = "0.2.0"
