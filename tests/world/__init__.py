"""A small world in simulated time: stand-ins for the state service, the cloud and
the workers, a network that delays, loses and holds messages, users, and the Rules as
checks. The controllers in it are the real ones; only their sockets are replaced.
"""

from .deployment import World
from .machine import Task, Worker
from .settings import SETTINGS, TYPES, ZONES, job
from .simulation import Clock, InOrder, JumpSelector, simulate
from .state_service import State

__all__ = [
    "SETTINGS",
    "TYPES",
    "ZONES",
    "Clock",
    "InOrder",
    "JumpSelector",
    "State",
    "Task",
    "Worker",
    "World",
    "job",
    "simulate",
]
