"""The owner's routines: answering reports, sending commands, telling homes,
fencing silent machines; and, on one member, renting and returning machines."""

from __future__ import annotations

import logging
import math
import time
from collections import OrderedDict
from typing import TYPE_CHECKING, Any

import curio
import msgspec

from . import http, peerwire
from .cloud import CloudError, NoCapacity
from .config import ConfigError, endpoint
from .jobs import CLEAR, KILL, LATER
from .model import RANKS, Job, Listed, MachineType, Report, fits, split_task
from .peers import PeerError
from .placement import Policy, Room
from .provisioning import (
    GIVE_UP,
    LATE,
    Boot,
    Kind,
    Need,
    empty_room,
    pressing,
    remaining,
    shopping,
    short,
    spare_room,
)
from .workers import GONE, Key, Machine

if TYPE_CHECKING:
    from .server import Controller

log = logging.getLogger("clayport.fleet")

# The share of the fleet's CPUs that has to be free before replicas are moved to
# empty a machine.
SLACK = 0.1
# Machines looked at in one round of emptying, each against all others.
TRIES = 4
# The share of all replicas' time that may go to moving them off dear machines; off
# others, half of it.
MOVING = 0.002

Told = tuple[str, str, int, str, str, bool]


class Fleet:
    """Everything between this controller and the machines."""

    def __init__(self, core: Controller) -> None:
        self.core = core
        self.clients: OrderedDict[str, http.Client] = OrderedDict()
        self.forwarded: dict[str, float] = {}
        self.outboxes: dict[str, OrderedDict[tuple[str, str, int], Told]] = {}
        w = core.settings.cluster.workers
        # A worker whose report went unanswered needs 4 s and another second to
        # come to the next node: silence up to 0.6 leases is ordinary.
        self.silent_s = 0.6 * w.lease_s
        self.command_s = 0.2 * w.lease_s

    # -- reports ---------------------------------------------------------

    async def report(self, body: bytes) -> tuple[int, dict[str, Any]]:
        """Answer a worker's report."""
        core = self.core
        try:
            report = msgspec.json.decode(body, type=Report)
        except msgspec.MsgspecError as exc:
            log.error("malformed report dropped: %s", exc)
            return 400, {}
        now = time.monotonic()
        gen = core.generation
        owner = gen.place(report.machine)
        if core.superseded(now) and core.state_lost(now):
            return 421, {}
        if core.state_lost(now) and not core.may_renew(now):
            # Cut off from the state service and from somebody who may go on without
            # us: a cancelled task must not live on here past its deadline.
            return 503, {}
        if owner == core.label and core.serving:
            return self.own_report(report, now, True)
        if owner and owner != core.label and core.state_known:
            peer = core.peers.get(owner)
            last = self.forwarded.get(report.machine, -1e9)
            self.forwarded[report.machine] = now
            if len(self.forwarded) > 5000:
                self.forwarded.clear()
            reachable = peer is not None and now - peer.heard < core.ttl_s
            if reachable and now - last > self.silent_s:
                return 421, {"upstream": owner}
            # Back again although it was sent to its owner: the worker can't
            # reach it, so its report is passed on.
            if peer is not None and core.member:
                try:
                    status, raw = await peer.call(peerwire.REPORT, (gen.number, body))
                    if status == 200:
                        return 200, msgspec.json.decode(raw)
                except (PeerError, msgspec.DecodeError):
                    pass
        if core.may_renew(now):
            # The worker's own token and no orders: this gives no command and
            # takes nothing from whoever is entitled.
            return 200, {"epoch": report.token, "orders": []}
        if owner and owner != core.label:
            return 421, {"upstream": owner}
        return 503, {}

    def own_report(self, report: Report, now: float, direct: bool) -> tuple[int, dict[str, Any]]:
        core = self.core
        if not core.owner.entitled(report):
            core.suspect_stale()
            return 503, {}
        new = report.machine not in core.owner.machines
        m = core.owner.take_report(report, now, direct)
        if m is None:
            return 200, {"epoch": core.owner.machine(report.machine, now).token, "orders": []}
        if new:
            room = core.rooms.get(report.machine)
            if room is not None:
                m.images.update({image: 0.0 for image in room.images})
            log.info("machine=%s generation=%d event=owned type=%s zone=%s spot=%s", m.name,
                     core.generation.number, m.type, m.zone, m.spot)
        answer: dict[str, Any] = {"epoch": m.token, "orders": []}
        if m.orders and not m.busy:
            if now < m.bad_until:
                answer["orders"], m.by_response = core.owner.orders(m)
            else:
                core.spawn(self.pump(m))
        core.room_changed()
        return 200, answer

    # -- commands --------------------------------------------------------

    def client(self, address: str) -> http.Client | None:
        """A pooled client; the least recently used is closed beyond the budget."""
        found = self.clients.get(address)
        if found is None:
            try:
                host, port = endpoint(address, "address")
            except ConfigError as exc:
                log.error("machine address dropped: %s", exc)
                return None
            found = self.clients[address] = http.Client(host, port, keep=1)
            if len(self.clients) > self.core.worker_sockets:
                _, old = self.clients.popitem(last=False)
                self.core.spawn(old.close())
        self.clients.move_to_end(address)
        return found

    def poke(self, machine: str) -> None:
        """Send what is queued for the machine, unless that is under way."""
        m = self.core.owner.machines.get(machine)
        if m is not None and m.orders and not m.busy and m.known \
                and time.monotonic() >= m.bad_until:
            m.busy = True
            self.core.spawn(self.pump(m, True))

    async def pump(self, m: Machine, marked: bool = False) -> None:
        """One request at a time to a machine, until nothing is queued for it."""
        core = self.core
        if m.busy and not marked:
            return
        m.busy = True
        fence = core.generation.number
        try:
            while m.orders and core.generation.number == fence and core.serving:
                client = self.client(m.address)
                if client is None:
                    return
                orders, launches = core.owner.orders(m)
                token = m.token
                body = msgspec.json.encode({"epoch": token, "tenure": m.session, "orders": orders})
                try:
                    status, raw = await client.request("POST", "/do", body, self.command_s)
                except http.NoAnswer as exc:
                    log.info("machine=%s event=unanswered %s", m.name, exc)
                    if core.generation.number == fence:
                        core.owner.unanswered(m, launches, not isinstance(exc, http.NotSent),
                                              time.monotonic())
                    return
                if core.generation.number != fence:
                    return
                if status == 200:
                    core.owner.answered(m, orders, launches)
                else:
                    core.owner.unanswered(m, launches, False, time.monotonic())
                if status in (200, 409):
                    self._body(m, raw)
                if status != 200:
                    log.info("machine=%s event=refused status=%d", m.name, status)
                    return
        finally:
            m.busy = False
        core.room_changed()

    def _body(self, m: Machine, raw: bytes) -> None:
        """The report in a command's answer."""
        try:
            report = msgspec.json.decode(raw, type=Report)
        except msgspec.MsgspecError as exc:
            log.error("machine=%s malformed answer dropped: %s", m.name, exc)
            return
        if report.machine != m.name:
            return
        if self.core.owner.entitled(report):
            heard = m.heard
            self.core.owner.take_report(report, time.monotonic(), False)
            m.heard = max(heard, m.heard)
        else:
            self.core.suspect_stale()

    # -- telling homes ---------------------------------------------------

    def emit(self, job: str, event: Told) -> None:
        home = self.core.generation.place(job)
        box = self.outboxes.setdefault(home, OrderedDict())
        box[event[:3]] = event
        self.core.signal(f"outbox {home}")

    async def tell(self, home: str) -> None:
        """Deliver events to one home until it has taken them."""
        core = self.core
        while True:
            await core.wait(f"outbox {home}")
            box = self.outboxes.setdefault(home, OrderedDict())
            while box and core.serving:
                gen = core.generation
                batch = [box.popitem(last=False)[1] for _ in range(min(len(box), 500))]
                try:
                    if home == core.label:
                        ok, verdicts = True, core.dispatch.told(batch)
                    else:
                        ok, packed = await core.peers[home].call(
                            peerwire.STATES, (gen.number, batch))
                        verdicts = [v for (v,) in packed]
                except (PeerError, KeyError):
                    ok, verdicts = False, []
                if core.generation is not gen:
                    break
                if not ok or len(verdicts) != len(batch):
                    for event in batch:
                        box.setdefault(event[:3], event)
                    await curio.sleep(core.jitter(core.ttl_s / 6))
                    continue
                touched = set()
                for event, verdict in zip(batch, verdicts):
                    self._verdict(event, verdict)
                    touched.add(event[0])
                for machine in touched:
                    self.poke(machine)
                core.room_changed()

    def _verdict(self, event: Told, verdict: int) -> None:
        machine, task, attempt, state = event[:4]
        key: Key = (task, attempt)
        owner = self.core.owner
        if verdict == LATER:
            owner.retell(machine, key)
        elif state == GONE:
            owner.settled(machine, key)
        elif verdict == KILL:
            owner.stop([(machine, task, attempt, 0.0, False)])
        elif verdict == CLEAR:
            owner.stop([(machine, task, attempt, 0.0, True)])

    def evacuate(self, name: str, drain: bool) -> bool:
        """Begin to move a machine's replicas off: to drain it, all of them; otherwise as
        many as the guest of its GPUs needs to fit again."""
        core = self.core
        m = core.owner.machines.get(name)
        now = time.monotonic()
        if m is None or m.evacuating or not core.owner.replicas(m) \
                or now - m.evacuated_at < core.settings.cluster.workers.lease_s / 2 \
                or not (core.owner.open(m) or core.owner.sick(m)):
            return False
        log.info("machine=%s event=evacuate replicas=%d drain=%s", name,
                 len(core.owner.replicas(m)), drain)
        m.evacuating, m.evacuated_at = True, now
        m.draining = drain
        core.owner.touch(name)
        core.spawn(self._evacuate(m, drain))
        return True

    async def _evacuate(self, m: Machine, drain: bool) -> None:
        """One replica at a time, each only while its home has another place for it."""
        core = self.core
        gen = core.generation
        try:
            while core.generation is gen and core.serving and m.notice_at is None:
                replicas = [r for r in core.owner.replicas(m) if r[0] not in m.kills]
                kind = core.owner.types.get(m.type)
                if kind is None or not replicas:
                    return
                room = core.owner.room(m)
                if not drain and core.dispatch.policy().blocked(room, kind) <= 0:
                    return
                for key, job in replicas:
                    if await self._movable(m, key, job, drain):
                        m.kills.setdefault(key, 0.0)
                        self.poke(m.name)
                        await core.flush()
                        break
                else:
                    m.draining = False
                    core.owner.touch(m.name)
                    return
                await curio.sleep(core.settings.cluster.workers.report_s / 2)
        finally:
            m.evacuating = False

    async def _movable(self, m: Machine, key: Key, job: Job, drain: bool) -> bool:
        core = self.core
        number = split_task(key[0])[1]
        home = core.generation.place(job.id)
        if home == core.label:
            return core.dispatch.movable(job.id, number, m.name, drain)
        try:
            return bool((await core.peers[home].call(
                peerwire.MOVE, (core.generation.number, job.id, number, m.name,
                                drain)))[0])
        except (PeerError, KeyError):
            return False

    # -- silence ---------------------------------------------------------

    async def watch_silence(self) -> None:
        """Fence machines that fell silent: a task on one can't be judged otherwise."""
        core = self.core
        while True:
            await curio.sleep(core.settings.cluster.workers.report_s)
            if not core.serving:
                continue
            now = time.monotonic()
            core.owner.expire(now)
            if core.away or core.state_lost(now):
                continue  # possibly evicted: see Provisioner.run
            mine = list(core.owner.machines.values())
            for m in mine:
                if core.owner.sick(m) and m.known:
                    self.evacuate(m.name, True)
            silent = [m for m in mine if now - m.heard > self.silent_s and not m.fencing
                      and (m.known or m.want)]
            # When most are silent at once it is we who are cut off, or a whole
            # zone is: returning them all would destroy what still works.
            cut = len(silent) > 2 and len(silent) * 2 > len(mine)
            for m in silent:
                patience = core.settings.cluster.workers.cancel_s / 2
                if not cut or now - m.heard > patience:
                    m.fencing = True
                    core.owner.touch(m.name)
                    core.spawn(self._fence(m))

    async def _fence(self, m: Machine) -> None:
        core = self.core
        gen = core.generation
        try:
            # An owner that has not heard the machine yet knows its address from the
            # picture or the list; with none, silence alone is no ground to return a
            # machine that may well work (fifteen were, when one controller lost the
            # state service).
            room, listed = core.rooms.get(m.name), core.provisioner.listed.get(m.name)
            address = m.address or (room.address if room else "") or (
                listed.address if listed else "")
            if not address and time.monotonic() - m.heard < \
                    core.settings.cluster.workers.cancel_s / 2:
                return
            if address and await self.inspect(m.name, address):
                return
            for label, peer in core.peers.items():
                if address and label in gen.members:
                    try:
                        if (await peer.call(peerwire.INSPECT, (m.name, address),
                                            self.command_s * 1.5))[0]:
                            return
                        break
                    except PeerError:
                        continue
            if core.generation is not gen or not core.serving \
                    or time.monotonic() - m.heard < self.silent_s:
                return
            log.info("machine=%s generation=%d event=fence cause=silent tasks=%d", m.name,
                     gen.number, len(m.want))
            if gen.provisioner == core.label:
                await self.fence(m.name)
            else:
                await core.peers[gen.provisioner].call(
                    peerwire.FENCE, (gen.number, m.name, "silent"), 10 * self.command_s)
        except (PeerError, CloudError, KeyError) as exc:
            log.info("machine=%s event=not-fenced cause=%s", m.name, exc)
        finally:
            m.fencing = False
            if m.name in core.owner.machines:
                core.owner.touch(m.name)

    async def inspect(self, name: str, address: str) -> bool:
        """Whether the worker itself answers; what it says is used where we own it."""
        client = self.client(address)
        if client is None:
            return False
        try:
            status, raw = await client.request("GET", "/inspect", None, self.command_s)
        except http.NoAnswer:
            return False
        m = self.core.owner.machines.get(name)
        if status == 200 and m is not None:
            self._body(m, raw)
        return status == 200

    async def fence(self, name: str) -> None:
        """Return a machine: with the cloud's 200 everything on it is gone."""
        await self.core.cloud.give_back([name])
        await self.core.announce_gone([name])


class Provisioner:
    """Renting and returning, on the one member of the generation that does."""

    def __init__(self, core: Controller) -> None:
        self.core = core
        self.boots: dict[str, Boot] = {}
        self.returned: dict[str, float] = {}
        self.refused: dict[Kind, float] = {}
        self.emptied: dict[str, float] = {}  # when a machine was last to be emptied
        self.listed: dict[str, Listed] = {}
        self.sequence = 0
        self.began: object = None
        self.ready_at = 0.0
        self.began_at = self.listed_at = self.evacuated_at = self.emptying_at = -1e9

    async def run(self) -> None:
        core = self.core
        while True:
            await core.wait("demand", core.ttl_s / 3)
            await curio.sleep(core.ttl_s / 12)
            if not core.serving or core.generation.provisioner != core.label or not core.types:
                continue
            if core.away or core.state_lost(time.monotonic()):
                # Possibly evicted: a return sent now may be held in the network
                # and destroy, minutes later, machines that work.
                continue
            try:
                await self.tick()
            except CloudError as exc:
                log.info("event=cloud-trouble cause=%s", exc)
                await curio.sleep(core.jitter(core.ttl_s / 3))

    async def tick(self) -> None:
        core = self.core
        now = time.monotonic()
        gen = core.generation
        fresh = self.began is not gen
        await core.dispatch.refresh_peers(changed_only=not fresh)
        if fresh or now - self.listed_at > core.settings.cluster.cloud.list_lag_s:
            await self._list(now)
        if fresh:
            # What a predecessor rented may not be listed yet: wait for the list
            # to be sure before renting again. Where the service is only just being
            # started there was none, whatever machines there are already.
            self.began = gen
            self.began_at = now
            first = gen.number == 1 or gen.number <= 3 and not self.listed
            self.ready_at = now + (0.0 if first else 2 * core.settings.cluster.cloud.list_lag_s)
        if core.generation is not gen:
            return
        now = time.monotonic()
        rooms = list(core.dispatch.picture().values())
        types = {t.name: t for t in core.types}
        await self._give_up(now, types)
        supply = [r.copy() for r in rooms if r.open]
        busy = sum(types[r.type].cpus - r.cpus for r in rooms if r.type in types)
        if log.isEnabledFor(logging.DEBUG):
            self._describe(rooms, types)
        for boot in self.boots.values():
            kind = types.get(boot.kind[0])
            if kind is not None and now - boot.since < LATE * kind.boot_s:
                supply.append(empty_room(kind, boot.name, boot.kind[1], boot.kind[2]))
        demand = core.dispatch.all_demand()
        policy = core.dispatch.policy()
        spare = spare_room([j for j, _ in core.live.values()], core.arrivals, core.types,
                           core.urgent, now)
        cpus = sum(types[r.type].cpus - r.used.get((RANKS["production"], True), [0.0])[0]
                   for r in supply if r.type in types)
        needs = pressing(demand, core.finish_limits, cpus)
        cheap = [r.copy() for r in supply]
        missing = short(supply, needs, policy)
        # Room that is only kept, and room for replicas on dear machines, has to be
        # where it is cheap: else it would keep dear machines rented.
        moving = self._on_dear(rooms, policy)
        kept: list[Need] = []
        for need in (*spare, *moving):
            rest = cheap if need in moving else supply
            kept += short([r for r in rest if not policy.dear(need.job, r)], [need], policy)
        self.refused = {k: t for k, t in self.refused.items() if t > now}
        if now >= self.ready_at and (missing or kept):
            late = {n.job.id for n in pressing(demand, core.finish_limits, cpus, 1.0, 1.0)}
            left = {n.job.id: -math.inf if core.aimless(n.job) or n.job.id not in late
                    else remaining(n.job, n.age_s, core.finish_limits) for n in demand}
            wanted = shopping(core.types, missing, set(self.refused), busy, policy, left)
            wanted += shopping(core.types, kept, set(self.refused), busy, policy,
                               {n.job.id: -math.inf for n in kept})
            await self._rent(wanted, types, now)
        await self._return_idle(rooms, types, demand, spare, policy, now)
        if now - self.evacuated_at > core.settings.cluster.workers.lease_s / 2:
            for room in list(core.dispatch.picture().values()):
                kind = types.get(room.type)
                if kind is not None and room.open and policy.blocked(room, kind) > 0 \
                        and await core.ask_owner(peerwire.EVACUATE, room.machine, False):
                    # Replicas placed before a job that needs the GPUs was known.
                    self.evacuated_at = now
                    break
        if now >= self.emptying_at:
            await self._consolidate(types, demand, spare, policy, now)

    @staticmethod
    def _on_dear(rooms: list[Room], policy: Policy) -> list[Need]:
        """Replicas that run on machines far dearer than they need."""
        found = []
        for job in policy.services:
            cpus = sum(r.used.get((RANKS["production"], True), [0.0])[0] for r in rooms
                       if policy.dear(job, r))
            if cpus > 0:
                found.append(Need(job, math.ceil(cpus / max(job.cpus, 0.1))))
        return found[:1]

    def _describe(self, rooms: list[Room], types: dict[str, MachineType]) -> None:
        """How full the fleet is, by kind: machines, CPUs and those busy; and what waits."""
        kinds: dict[tuple[str, bool], list[float]] = {}
        for room in rooms:
            if room.type in types:
                row = kinds.setdefault((room.type, room.spot), [0, 0, 0])
                row[0] += 1
                row[1] += types[room.type].cpus
                row[2] += types[room.type].cpus - room.cpus
        waiting: dict[str, int] = {}
        for need in self.core.dispatch.all_demand():
            name = need.job.job_class
            waiting[name] = waiting.get(name, 0) + need.tasks
        log.debug("event=fleet booting=%d waiting=%s %s", len(self.boots), waiting,
                  " ".join(f"{t}{'*' if spot else ''}={n:.0f}:{busy:.0f}/{cpus:.0f}"
                           for (t, spot), (n, cpus, busy) in sorted(kinds.items())))

    async def _list(self, now: float) -> None:
        core = self.core
        lag = core.settings.cluster.cloud.list_lag_s
        found = await core.cloud.machines()
        self.listed_at = now
        self.listed = {m.id: m for m in found}
        self.returned = {n: t for n, t in self.returned.items() if now - t < 4 * lag + core.ttl_s}
        for m in found:
            if m.id in self.returned:
                continue
            if m.state == "failed":
                await core.fleet.fence(m.id)
                self.returned[m.id] = now
            elif m.id not in core.rooms:
                self.boots.setdefault(m.id, Boot(m.id, (m.type, m.zone, m.spot), now - m.age_s))
        for name, boot in list(self.boots.items()):
            gone = name not in self.listed and now - boot.since > 4 * lag + core.ttl_s
            if name in core.rooms or name in self.returned or gone:
                del self.boots[name]

    async def _give_up(self, now: float, types: dict[str, MachineType]) -> None:
        """Return machines that never came up; they cost as long as they are kept.

        Not right after a takeover: machines that work are unknown then until
        their reports have found their new owners.
        """
        if now - self.began_at < 2 * self.core.settings.cluster.workers.lease_s:
            return
        late = [b.name for b in self.boots.values()
                if b.kind[0] in types and now - b.since > GIVE_UP * types[b.kind[0]].boot_s]
        if late:
            log.info("event=never-up machines=%s", late)
            await self._return(late[:100], now)

    async def _return(self, names: list[str], now: float) -> None:
        await self.core.cloud.give_back(names)
        for name in names:
            self.returned[name] = now
            self.boots.pop(name, None)
        await self.core.announce_gone(names)

    async def _rent(self, wanted: list[Kind], types: dict[str, MachineType], now: float) -> None:
        core = self.core
        counts: dict[Kind, int] = {}
        for kind in wanted:
            counts[kind] = counts.get(kind, 0) + 1
        for kind, count in counts.items():
            self.sequence += 1
            name = f"r-{core.generation.number}-{core.label}-{self.sequence}"
            try:
                got = await core.cloud.rent(name, *kind, min(count, 50))
            except NoCapacity:
                got = []
            log.info("event=rented kind=%s wanted=%d got=%d", kind, count, len(got))
            if len(got) < min(count, 50):
                self.refused[kind] = now + types[kind[0]].boot_s / 2
                core.signal("demand")
            for machine in got:
                self.boots[machine] = Boot(machine, kind, now)

    async def _return_idle(self, rooms: list[Room], types: dict[str, MachineType],
                           demand: list[Need], spare: list[Need], policy: Policy,
                           now: float) -> None:
        """Return machines idle for a while that are not needed as spare room."""
        core = self.core
        names = []
        needs = demand + spare
        # Cheap room that replicas on dear machines can still move to is kept.
        keep = sum(n.job.cpus * n.tasks for n in self._on_dear(rooms, policy))
        hurried = [n for n in demand if not core.patient(n.job, n.age_s)]
        idle = [r for r in rooms if r.tasks == 0 and r.type in types
                and r.machine not in self.returned
                and (not r.open or now - r.idle_since > 0.5 * types[r.type].boot_s)]
        # Closed ones first: nothing will ever start there again.
        idle.sort(key=lambda r: (r.open, r.spot, -types[r.type].price))
        for room in idle[:4]:
            # A dear machine is not kept for what may come, or for what can wait.
            cheap = not any(policy.dear(job, room) for job in policy.services)
            if keep > 0 and room.open and cheap:
                keep -= room.cpus
                continue
            rest = [r.copy() for r in core.dispatch.picture().values()
                    if r.open and r.machine != room.machine and r.machine not in names]
            if room.open and self._worse(rest, room, needs if cheap else hurried, policy):
                continue
            if await core.ask_owner(peerwire.DRAIN, room.machine):
                names.append(room.machine)
        if names:
            log.info("event=returned machines=%s cause=idle", names)
            await self._return(names, now)



    @staticmethod
    def _worse(rest: list[Room], room: Room, needs: list[Need], policy: Policy) -> bool:
        """Whether less of what is needed would fit without the machine."""
        without = sum(n.tasks for n in short([r.copy() for r in rest], needs, policy))
        if not without:
            return False
        rest = [*(r.copy() for r in rest), room.copy()]
        return without > sum(n.tasks for n in short(rest, needs, policy))

    async def _consolidate(self, types: dict[str, MachineType], demand: list[Need],
                           spare: list[Need], policy: Policy, now: float) -> None:
        """Empty a machine whose work the others have room for, the dearest first.

        Nothing that waits could use it: neither a job that fits no machine of its
        type nor one that can wait for a cheaper one. (A few waiting gangs once kept
        nine dear machines with replicas rented all day.) Replicas last, so without
        this a machine that has one stays rented, however little else there is for it.
        """
        core = self.core
        rooms = core.dispatch.picture()
        self.emptied = {n: t for n, t in self.emptied.items() if n in rooms}
        total = sum(types[r.type].cpus for r in rooms.values() if r.type in types)
        offers: list[tuple[bool, float, str]] = []
        for room in rooms.values():
            kind = types.get(room.type)
            if kind is None or not room.open or room.tasks == 0:
                continue
            guests = room.type in policy.guests
            if guests and room.gpus < kind.gpus:
                continue  # its GPUs are in use
            lasting = room.used.get((RANKS["production"], True), [0.0, 0.0, 0.0])[0]
            if lasting <= 0 or now - self.emptied.get(room.machine, -1e9) < \
                    2 * core.settings.cluster.workers.lease_s:
                continue  # empties by itself, or has just been tried
            dear = any(policy.dear(job, room) for job in policy.services)
            # The dear ones first, then those with the fewest replicas to move.
            offers.append((not (dear or guests), lasting, room.machine))
        # A look at all others for each: only the best few are looked at in a round.
        total_lasting = sum(r.used.get((RANKS["production"], True), [0.0])[0]
                            for r in rooms.values())
        for _, lasting, name in sorted(offers)[:TRIES]:
            room, kind = rooms[name], types[rooms[name].type]
            dear = any(policy.dear(job, room) for job in policy.services)
            waiting = [n for n in demand if fits(n.job, kind)
                       and not (dear and core.patient(n.job, n.age_s))]
            if waiting and not dear:
                continue
            rest = [r.copy() for r in rooms.values() if r.open and r.machine != room.machine
                    and not (r.spot and not room.spot)]
            free = sum(r.cpus for r in rest)
            if dear:  # its replicas are worth more than the progress of the lowest rank
                free += sum(used[0] for r in rest for (rank, _), used in r.used.items()
                            if rank == RANKS["best_effort"])
                free -= sum(n.tasks * n.job.cpus for n in waiting)
            # Enough stays free that the next job doesn't buy it back.
            if free < (2 * kind.cpus if dear else max(2 * kind.cpus, SLACK * total)) \
                    or not dear and self._worse(rest, room, spare, policy):
                continue
            self.emptied[name] = now
            if await core.ask_owner(peerwire.EVACUATE, name, True):
                # Each replica that moves is missed for about as long as a report takes.
                share = lasting / max(lasting, total_lasting)
                self.emptying_at = now + max(2.0, share / (MOVING if dear else MOVING / 2)) \
                    * core.settings.cluster.workers.report_s
            return
