"""Gathering this controller's own evidence from its parts."""

from __future__ import annotations

import time

import msgspec

from clayport.rebuild.evidence import Evidence
from clayport.rebuild.ports import RebuildParts


def gather(ports: RebuildParts, loaded: bool) -> Evidence:
    """This controller's own evidence."""
    now, day = time.monotonic(), time.time()
    found = Evidence(
        ports.membership.label,
        ports.membership.incarnation,
        ports.membership.epoch.number,
        dict(ports.membership.epoch.members),
        loaded,
    )
    for name, (job, _) in ports.jobs.live.items():
        node = ports.jobs.dependencies.nodes.get(name)
        found.live[name] = (
            msgspec.to_builtins(node.job if node else job),
            round(day - (now - node.submitted_at), 3) if node else day,
        )
    for name, status in ports.jobs.ended.items():
        at = ports.jobs.dependencies.ends.get(name, ("", 0.0))[1]
        desc = ports.jobs.ended_descriptions.get(name)
        found.ended[name] = (
            status,
            round(day - (now - at), 3) if at else 0.0,
            msgspec.to_builtins(desc) if desc is not None else None,
        )
    for managed in ports.jobs.managed.values():
        for index, chunk in managed.chunks.items():
            found.chunks[managed.key(index)] = chunk.value()
    found.versions = {label: number for label, (number, _) in ports.upgrade.formats.items()}
    found.classes = {
        name: msgspec.to_builtins(msgspec.structs.replace(job, prereqs=None))
        for name, job in ports.jobs.classes.items()
    }
    found.machines = {name: room.address for name, room in ports.view.rooms.items()}
    found.machines.update(
        {name: m.address for name, m in ports.machines.machines.items() if m.address}
    )
    return found
