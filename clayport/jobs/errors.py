"""Errors raised by the routines that lead jobs."""

from __future__ import annotations


class EpochEndedError(Exception):
    """The epoch under which a job was loaded has ended, so its routine has to stop."""
