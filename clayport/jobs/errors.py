"""Errors of the routines that lead jobs."""

from __future__ import annotations


class EpochEndedError(Exception):
    """The epoch that a job was loaded under has ended, and with it the right to lead the job."""
