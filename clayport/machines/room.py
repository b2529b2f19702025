"""Builds the free room of a machine from its reported and its desired tasks."""

from __future__ import annotations

import math
from collections.abc import Callable

from clayport.machines.machine import Machine
from clayport.model import Job, MachineType
from clayport.scheduling.room import Room


def build_room(
    machine: Machine,
    machine_type: MachineType | None,
    accepts_work: bool,
    job_of: Callable[[str], Job | None],
) -> tuple[Room, bool]:
    """Build the free room of a machine, from which all desired and reported tasks take room.

    Args:
        machine: The machine.
        machine_type: The type of the machine; None if it is not in the catalogue.
        accepts_work: Whether the machine takes new tasks.
        job_of: Finds a job's description.

    Returns:
        The room, and whether the jobs of all its tasks are known.
    """
    room = Room(
        machine.name,
        machine.address,
        machine.type,
        machine.zone,
        machine.spot,
        accepts_work and machine_type is not None,
        machine_type.cpus if machine_type else 0.0,
        machine_type.gpus if machine_type else 0.0,
        machine_type.memory_gb if machine_type else 0.0,
        0,
        machine.images,
        math.inf,
        "",
    )
    keys = dict.fromkeys(machine.occupying())
    keys.update(dict.fromkeys(k for k in machine.desired if not machine.has_exited(k)))
    tasks_by_job: dict[str, int] = {}
    for key in keys:
        job = key[0].partition("/")[0]
        tasks_by_job[job] = tasks_by_job.get(job, 0) + 1
    all_known = True
    for job, count in tasks_by_job.items():
        description = job_of(job)
        if description is not None:
            room.allocate(description, count)
        else:
            room.tasks += count
            all_known = False
    return room, all_known
