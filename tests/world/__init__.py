"""A simulated deployment with injected faults.

Simulated time replaces the clock. The state service, the cloud, the workers and the users are
stand-ins, the network delays, loses and holds messages, and the rules of the service are
checked throughout. The controllers are the real ones; only their sockets are replaced.
"""

from .deployment import World
from .machine import Task, Worker
from .settings import SETTINGS, TYPES, ZONES, job
from .simulation import Clock, FifoBarrier, JumpSelector, simulate
from .state_service import State

__all__ = [
    "SETTINGS",
    "TYPES",
    "ZONES",
    "Clock",
    "FifoBarrier",
    "JumpSelector",
    "State",
    "Task",
    "Worker",
    "World",
    "job",
    "simulate",
]
