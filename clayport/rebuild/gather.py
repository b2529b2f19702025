"""Gathers this controller's own evidence."""

from __future__ import annotations

import time

import msgspec

from clayport.rebuild.evidence import Evidence
from clayport.rebuild.ports import RebuildParts


def gather(controller: RebuildParts, loaded: bool) -> Evidence:
    """Return this controller's own evidence.

    Args:
        controller: The parts of the controller that hold records.
        loaded: Whether the controller had loaded its jobs for its epoch.
    """
    monotonic_now, wall_now = time.monotonic(), time.time()
    evidence = Evidence(
        controller.membership.label,
        controller.membership.incarnation,
        controller.membership.epoch.number,
        dict(controller.membership.epoch.members),
        loaded,
    )
    for name, (job, _) in controller.jobs.live.items():
        node = controller.jobs.dependencies.nodes.get(name)
        evidence.live[name] = (
            msgspec.to_builtins(node.job if node else job),
            round(wall_now - (monotonic_now - node.submitted_at), 3) if node else wall_now,
        )
    for name, status in controller.jobs.ended.items():
        ended_at = controller.jobs.dependencies.ends.get(name, ("", 0.0))[1]
        description = controller.jobs.ended_descriptions.get(name)
        evidence.ended[name] = (
            status,
            round(wall_now - (monotonic_now - ended_at), 3) if ended_at else 0.0,
            msgspec.to_builtins(description) if description is not None else None,
        )
    for managed in controller.jobs.managed.values():
        for index, chunk in managed.chunks.items():
            evidence.chunks[managed.key(index)] = chunk.value()
    evidence.versions = {label: number for label, (number, _) in controller.upgrade.formats.items()}
    evidence.classes = {
        name: msgspec.to_builtins(msgspec.structs.replace(job, prereqs=None))
        for name, job in controller.jobs.classes.items()
    }
    evidence.machines = {name: room.address for name, room in controller.view.rooms.items()}
    evidence.machines.update(
        {
            name: machine.address
            for name, machine in controller.machines.machines.items()
            if machine.address
        }
    )
    return evidence
