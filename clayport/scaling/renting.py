"""Renting and returning machines, on the one member of the epoch that does it."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Sequence

import curio

from clayport.jobs.registry import JobRegistry
from clayport.leases.renewal import LeaseRenewal
from clayport.machines.removal import MachineRemoval
from clayport.machines.routing import Routing
from clayport.membership.stalls import StallDetector
from clayport.membership.state import MembershipState
from clayport.model import RANKS, CloudMachine, MachineType, fits
from clayport.routines import Routines
from clayport.scaling.arrivals import Arrivals, spare_room
from clayport.scaling.boot_times import GIVE_UP_FACTOR, LATE, BootingMachine, BootTimes, Kind
from clayport.scaling.catalogue import Catalogue
from clayport.scaling.cloud import MAX_MACHINES_PER_RETURN, Cloud, CloudError, NoCapacityError
from clayport.scaling.demand import Demand, surely_fits, time_left_s, unmet_demand, urgent_demand
from clayport.scaling.provisioning import MAX_RENTED_AT_ONCE, empty_room, plan_rentals
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.index import Index
from clayport.scheduling.placer import Placer
from clayport.scheduling.policy import Policy
from clayport.scheduling.room import Room
from clayport.scheduling.urgency import SchedulingObjectives
from clayport.scheduling.view import ClusterView
from clayport.settings import Settings
from clayport.transport import frames

log = logging.getLogger(__name__)

# The share of the fleet's CPUs that has to be free before replicas are moved to
# empty a machine.
SLACK = 0.1
# Machines looked at in one round of emptying, each against all others.
TRIES = 4
# The share of all replicas' time that may go to moving them.
MOVING = 0.001


class Provisioner:
    """Renting and returning, on the one member of the epoch that does."""

    def __init__(
        self,
        *,
        arrivals: Arrivals,
        cached_state: CachedState,
        catalogue: Catalogue,
        cloud: Cloud,
        jobs: JobRegistry,
        membership: MembershipState,
        objectives: SchedulingObjectives,
        placer: Placer,
        removal: MachineRemoval,
        renewal: LeaseRenewal,
        routines: Routines,
        routing: Routing,
        settings: Settings,
        stalls: StallDetector,
        view: ClusterView,
    ) -> None:
        self.arrivals = arrivals
        self.cached_state = cached_state
        self.catalogue = catalogue
        self.cloud = cloud
        self.jobs = jobs
        self.membership = membership
        self.objectives = objectives
        self.placer = placer
        self.removal = removal
        self.renewal = renewal
        self.routines = routines
        self.routing = routing
        self.settings = settings
        self.stalls = stalls
        self.view = view
        self.boots: dict[str, BootingMachine] = {}
        self.own: set[str] = set()  # machines rented here that have not come up yet
        self.took = BootTimes(20 * settings.cluster.workers.lease_s)
        self.returned: dict[str, float] = {}
        self.refused: dict[Kind, float] = {}
        # Machines that their owners did not close, and until when they are not asked again.
        self.held: dict[str, float] = {}
        self.emptied: dict[str, float] = {}  # when a machine was last to be emptied
        self.listed: dict[str, CloudMachine] = {}
        self.sequence = 0
        self.began: object = None
        self.ready_at = 0.0
        self.began_at = self.listed_at = self.evacuated_at = self.emptying_at = -1e9

    async def run(self) -> None:
        attempt = self.cloud.begin()
        while True:
            await self.routines.wait("demand", self.membership.lease_ttl_s / 3)
            await curio.sleep(self.membership.lease_ttl_s / 12)
            if (
                not self.membership.serving
                or self.membership.epoch.provisioner != self.membership.label
                or not self.catalogue.types
            ):
                continue
            now = time.monotonic()
            if not self.stalls.check(now) or self.membership.away or self.renewal.state_lost(now):
                # Possibly evicted, or just awake after standing still: a return sent now may be
                # held in the network and destroy, minutes later, machines that work.
                continue
            try:
                await self.tick()
                attempt.served()
            except CloudError as exc:
                log.info("event=cloud-trouble cause=%s", exc)
                await self.cloud.back_off(attempt)

    async def tick(self) -> None:
        now = time.monotonic()
        epoch = self.membership.epoch
        fresh = self.began is not epoch
        await self.cached_state.refresh_peers(changed_only=not fresh)
        if fresh or now - self.listed_at > self.settings.cluster.cloud.list_lag_s:
            await self._list(now)
        if fresh:
            # What a predecessor rented may not be listed yet: wait for the list
            # to be sure before renting again. Where the service is only just being
            # started there was none, whatever machines there are already.
            self.began = epoch
            self.began_at = now
            first = epoch.number == 1 or epoch.number <= 3 and not self.listed
            self.ready_at = now + (0.0 if first else 2 * self.settings.cluster.cloud.list_lag_s)
        if self.membership.epoch is not epoch:
            return
        now = time.monotonic()
        types = {t.name: t for t in self.catalogue.types}
        await self._give_up(now, types)
        index, policy = self.cached_state.index(), self.placer.policy()
        if log.isEnabledFor(logging.DEBUG):
            self._describe(list(index.rooms.values()), types)
        waiting = self.placer.demand_report.whole_epoch()
        demand = [n for n in waiting if not n.job.backfill]
        observed = self.took.observed(
            self.catalogue.types, (b for n, b in self.boots.items() if n in self.own), now
        )
        spare = spare_room(
            [j for j, _ in self.jobs.live.values()],
            self.arrivals,
            observed,
            self.objectives.urgent,
            now,
        )
        self.refused = {k: t for k, t in self.refused.items() if t > now}
        if now >= self.ready_at:
            await self._rent(
                self._wanted(waiting, demand, spare, observed, index, policy, types, now),
                types,
                now,
            )
        await self._return_idle(types, demand, spare, policy, now)
        if now - self.evacuated_at > self.settings.cluster.workers.lease_s / 2:
            for room in list(self.cached_state.rooms().values()):
                kind = types.get(room.type)
                if (
                    kind is not None
                    and room.open
                    and policy.blocked(room, kind) > 0
                    and await self.routing.ask_owner(frames.EVACUATE, room.machine, False)
                ):
                    # Replicas placed before a job that needs the GPUs was known.
                    self.evacuated_at = now
                    break
        if now >= self.emptying_at:
            await self._consolidate(types, demand, spare, policy, now)

    def _booting(self, types: dict[str, MachineType], now: float) -> list[Room]:
        """Machines that are on their way, as far as they are still counted on."""
        found = []
        for boot in self.boots.values():
            kind = types.get(boot.kind[0])
            if kind is not None and now - boot.since < LATE * kind.boot_s:
                found.append(empty_room(kind, boot.name, boot.kind[1], boot.kind[2]))
        return found

    def _wanted(
        self,
        waiting: list[Demand],
        demand: list[Demand],
        spare: list[Demand],
        observed: list[MachineType],
        index: Index,
        policy: Policy,
        types: dict[str, MachineType],
        now: float,
    ) -> list[Kind]:
        """Machines to rent, from what would not fit into what is there or on its way."""
        boots = {t.name: t.boot_s for t in self.catalogue.types}
        booting = self._booting(types, now)
        there = busy = replica_cpus = 0.0
        for pool in index.pools.values():
            kind = types.get(pool.type)
            totals = pool.count()
            if kind is not None:
                there += totals.machines * kind.cpus
                replica_cpus += totals.replica_cpus
                busy += len(pool.rooms) * kind.cpus - totals.free
        cpus = there - replica_cpus + sum(r.cpus for r in booting)
        boot_s = min(t.boot_s for t in observed)
        needs = urgent_demand(demand, self.objectives.finish_limits, cpus, boot_s=boot_s)
        moving = self._on_dear(index, policy)
        if (
            not needs
            and surely_fits(index, spare, policy, can_wait=True)
            and surely_fits(index, moving, policy, can_wait=True)
        ):
            return self._fill(waiting, needs, spare, busy, booting, index, policy)
        kept: list[Demand] = []
        if moving:
            with index.trial(extra=booting):
                # Room for replicas on dear machines has to be where it is cheap: else it
                # would keep dear machines rented.
                kept = unmet_demand(index, moving, policy, True)
        with index.trial(extra=booting):
            missing = unmet_demand(index, needs, policy)
            # And so has room that is only kept.
            kept = unmet_demand(index, spare, policy, True) + kept
        if not missing and not kept:
            return self._fill(waiting, needs, spare, busy, booting, index, policy)
        late = {
            n.job.id
            for n in urgent_demand(demand, self.objectives.finish_limits, cpus, 1.0, 1.0, boot_s)
        }
        left = {
            n.job.id: -math.inf
            if n.job.without_objective or n.job.id not in late
            else time_left_s(n.job, n.age_s, self.objectives.finish_limits)
            for n in demand
        }
        wanted = plan_rentals(observed, missing, set(self.refused), busy, policy, left, boots)
        wanted += plan_rentals(
            observed,
            kept,
            set(self.refused),
            busy,
            policy,
            {n.job.id: -math.inf for n in kept},
            boots,
        )
        if any(n.job.gpus > 0 for n in missing + kept):
            return wanted
        # Others lack machines, but none of those with GPUs.
        return wanted + self._fill(
            [n for n in waiting if n.job.gpus > 0], needs, spare, busy, booting, index, policy
        )

    def _fill(
        self,
        waiting: list[Demand],
        needs: list[Demand],
        spare: list[Demand],
        busy: float,
        booting: list[Room],
        index: Index,
        policy: Policy,
    ) -> list[Kind]:
        """Machines for work without any aim, once nothing else lacks any."""
        if not any(n.job.backfill for n in waiting):
            return []
        with index.trial(extra=booting):
            unmet_demand(index, needs, policy)
            unmet_demand(index, spare, policy, True)
            return self._filling(waiting, busy, index, policy)

    def _filling(
        self, waiting: list[Demand], busy: float, index: Index, policy: Policy
    ) -> list[Kind]:
        """Machines for work without any aim: only once nothing else lacks any, within its
        share, and ordinary ones only if it can't be had otherwise. (Within a trial.)"""
        placer = self.placer
        left: dict[int, float] = {}
        wanted: list[Kind] = []
        ordinary = {(t.name, z, False) for t in self.catalogue.types for z in t.zones}
        for need in waiting:
            if not need.job.backfill:
                continue
            beside, tasks, rank = placer.hinders(need.job), need.tasks, need.job.rank
            if beside:
                if rank not in left:
                    left[rank] = placer.fill_cpus(index, rank)
                if left[rank] < need.job.cpus:
                    continue
                tasks = int(min(tasks, left[rank] / max(need.job.cpus, 0.1)))
                left[rank] -= tasks * need.job.cpus
            refused, avoid_idle_on_demand = set(self.refused), False
            if beside and need.age_s < placer.long_s:
                if need.job.spot:
                    refused |= ordinary
                avoid_idle_on_demand = True
            missing = unmet_demand(
                index,
                [need._replace(tasks=tasks)],
                policy,
                avoid_idle_on_demand=avoid_idle_on_demand,
            )
            wanted += plan_rentals(
                self.catalogue.types, missing, refused, busy, policy, {need.job.id: -math.inf}
            )
        return wanted

    @staticmethod
    def _on_dear(index: Index, policy: Policy) -> list[Demand]:
        """Replicas that run on machines far dearer than they need."""
        found = []
        for job in policy.services:
            cpus = sum(
                r.replica_cpus
                for p in index.pools.values()
                if policy.expensive(job, p)
                for r in p.rooms.values()
            )
            if cpus > 0:
                found.append(Demand(job, math.ceil(cpus / max(job.cpus, 0.1))))
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
        for need in self.placer.demand_report.whole_epoch():
            name = need.job.job_class
            waiting[name] = waiting.get(name, 0) + need.tasks
        log.debug(
            "event=fleet booting=%d waiting=%s %s",
            len(self.boots),
            waiting,
            " ".join(
                f"{t}{'*' if spot else ''}={n:.0f}:{busy:.0f}/{cpus:.0f}"
                for (t, spot), (n, cpus, busy) in sorted(kinds.items())
            ),
        )

    async def _list(self, now: float) -> None:
        lag = self.settings.cluster.cloud.list_lag_s
        found = await self.cloud.machines()
        self.listed_at = now
        self.listed = {m.id: m for m in found}
        self.returned = {
            n: t
            for n, t in self.returned.items()
            if now - t < 4 * lag + self.membership.lease_ttl_s
        }
        failed = []
        for m in found:
            if m.id in self.returned:
                continue
            if m.state == "failed":
                failed.append(m.id)
            elif m.id not in self.view.rooms:
                self.boots.setdefault(
                    m.id, BootingMachine(m.id, (m.type, m.zone, m.spot), now - m.age_s)
                )
        for name, boot in list(self.boots.items()):
            gone = (
                name not in self.listed and now - boot.since > 4 * lag + self.membership.lease_ttl_s
            )
            if name in self.view.rooms or name in self.returned or gone:
                if name in self.view.rooms and name in self.own:
                    self._up(boot, now)
                self.own.discard(name)
                del self.boots[name]
        for first in range(0, len(failed), MAX_MACHINES_PER_RETURN):
            await self._return(failed[first : first + MAX_MACHINES_PER_RETURN], now)

    def _up(self, boot: BootingMachine, now: float) -> None:
        for kind in self.catalogue.types:
            if kind.name == boot.kind[0]:
                self.took.note(kind, now - boot.since, now)

    async def _give_up(self, now: float, types: dict[str, MachineType]) -> None:
        """Return machines that never came up; they cost as long as they are kept.

        Not right after a takeover: machines that work are unknown then until
        their reports have found their new owners.
        """
        if now - self.began_at < 2 * self.settings.cluster.workers.lease_s:
            return
        late = [
            b.name
            for b in self.boots.values()
            if b.kind[0] in types and now - b.since > GIVE_UP_FACTOR * types[b.kind[0]].boot_s
        ]
        if late:
            log.info("event=never-up machines=%s", late)
            for name in late:
                if name in self.own:
                    self._up(self.boots[name], now)
            await self._return(late[:MAX_MACHINES_PER_RETURN], now)

    async def _return(self, names: list[str], now: float) -> None:
        await self.cloud.give_back(names)
        for name in names:
            self.returned[name] = now
            self.boots.pop(name, None)
            self.own.discard(name)
        await self.removal.announce(names)

    async def _rent(self, wanted: list[Kind], types: dict[str, MachineType], now: float) -> None:
        counts: dict[Kind, int] = {}
        for kind in wanted:
            counts[kind] = counts.get(kind, 0) + 1
        for kind, count in counts.items():
            self.sequence += 1
            name = f"r-{self.membership.epoch.number}-{self.membership.label}-{self.sequence}"
            try:
                got = await self.cloud.rent(name, *kind, min(count, MAX_RENTED_AT_ONCE))
            except NoCapacityError:
                got = []
            log.info("event=rented kind=%s wanted=%d got=%d", kind, count, len(got))
            if len(got) < min(count, MAX_RENTED_AT_ONCE):
                self.refused[kind] = now + types[kind[0]].boot_s / 2
                self.routines.signal("demand")
            for machine in got:
                self.boots[machine] = BootingMachine(machine, kind, now)
                self.own.add(machine)

    async def _return_idle(
        self,
        types: dict[str, MachineType],
        demand: list[Demand],
        spare: list[Demand],
        policy: Policy,
        now: float,
    ) -> None:
        """Return machines idle for a while that are not needed as spare room."""
        names: list[str] = []
        needs = demand + spare
        index = self.cached_state.index()
        # Cheap room that replicas on dear machines can still move to is kept.
        keep = sum(n.job.cpus * n.tasks for n in self._on_dear(index, policy))
        self.held = {n: until for n, until in self.held.items() if now < until}
        hurried = [n for n in demand if not self.objectives.can_wait(n.job, n.age_s)]
        idle = [
            r
            for r in index.rooms.values()
            if r.idle
            and r.type in types
            and (r.tasks == 0 or r.open and not r.spot)
            and r.machine not in self.returned
            and r.machine not in self.held
            and (not r.open or now - r.idle_since > 0.5 * types[r.type].boot_s)
        ]
        # Closed ones first: nothing will ever start there again.
        idle.sort(key=lambda r: (r.open, r.spot, -types[r.type].price))
        few = idle[:TRIES]
        # Together first: where there is room to spare one look says so for all of them.
        # (On a fleet that shrinks, looks one by one were half of all processor time.)
        roomy = sum(r.open for r in few) > 1 and not self._lost(
            self.cached_state.index(), [r.machine for r in few if r.open], needs, policy
        )
        for room in few:
            # A dear machine is not kept for what may come, or for what can wait.
            cheap = not any(policy.expensive(job, room) for job in policy.services)
            if keep > 0 and room.open and cheap:
                keep -= room.cpus
                continue
            if (
                room.open
                and not roomy
                and self._worse(
                    self.cached_state.index(),
                    (room.machine, *names),
                    needs if cheap else hurried,
                    policy,
                )
            ):
                continue
            if await self.routing.ask_owner(frames.DRAIN, room.machine):
                names.append(room.machine)
            else:
                # Four that are never closed would keep all others rented.
                self.held[room.machine] = now + self.settings.cluster.workers.lease_s / 2
        if names:
            log.info("event=returned machines=%s cause=idle", names)
            await self._return(names, now)

    @staticmethod
    def _lost(index: Index, without: Sequence[str], needs: list[Demand], policy: Policy) -> int:
        """How many tasks of what is needed don't fit without the machines."""
        if surely_fits(index, needs, policy, without):
            return 0
        with index.trial(without):
            return sum(n.tasks for n in unmet_demand(index, needs, policy))

    @classmethod
    def _worse(
        cls, index: Index, without: Sequence[str], needs: list[Demand], policy: Policy
    ) -> bool:
        """Whether less of what is needed would fit without the first of the machines (the
        others are not counted on in any case)."""
        lost = cls._lost(index, without, needs, policy)
        return lost > 0 and lost > cls._lost(index, without[1:], needs, policy)

    async def _consolidate(
        self,
        types: dict[str, MachineType],
        demand: list[Demand],
        spare: list[Demand],
        policy: Policy,
        now: float,
    ) -> None:
        """Empty a machine whose work the others have room for, the dearest first.

        Nothing that waits could use it: neither a job that fits no machine of its
        type nor one that can wait for a cheaper one. (A few waiting gangs once kept
        nine dear machines with replicas rented all day.) Replicas last, so without
        this a machine that has one stays rented, however little else there is for it.
        """
        rooms = self.cached_state.rooms()
        self.emptied = {n: t for n, t in self.emptied.items() if n in rooms}
        total = sum(types[r.type].cpus for r in rooms.values() if r.type in types)
        offers: list[tuple[bool, float, str]] = []
        for room in rooms.values():
            kind = types.get(room.type)
            if kind is None or not room.open or room.tasks == 0:
                continue
            gpu_jobs = room.type in policy.gpu_jobs
            if gpu_jobs and room.gpus < kind.gpus:
                continue  # its GPUs are in use
            replica_cpus = room.replica_cpus
            if (
                replica_cpus <= 0
                or now - self.emptied.get(room.machine, -1e9)
                < 2 * self.settings.cluster.workers.lease_s
            ):
                continue  # empties by itself, or has just been tried
            expensive = any(policy.expensive(job, room) for job in policy.services)
            # The dear ones first, then those with the fewest replicas to move.
            offers.append((not (expensive or gpu_jobs), replica_cpus, room.machine))
        # A look at all others for each: only the best few are looked at in a round.
        total_lasting = sum(r.replica_cpus for r in rooms.values())
        for _, replica_cpus, name in sorted(offers)[:TRIES]:
            room, kind = rooms[name], types[rooms[name].type]
            expensive = any(policy.expensive(job, room) for job in policy.services)
            waiting = [
                n
                for n in demand
                if fits(n.job, kind)
                and not (expensive and self.objectives.can_wait(n.job, n.age_s))
            ]
            if waiting and not expensive:
                continue
            rest = [
                r
                for r in rooms.values()
                if r.open and r.machine != room.machine and not (r.spot and not room.spot)
            ]
            free = sum(r.cpus for r in rest)
            if expensive:
                # Its replicas are worth more than the progress of the lowest rank, which
                # makes way for what waits as well. (Something always waits, and kept nine
                # dear machines with replicas rented all day.)
                free += sum(
                    used[0]
                    for r in rest
                    for (rank, _), used in r.used.items()
                    if rank <= RANKS["best_effort"]
                )
                free -= sum(n.tasks * n.job.cpus for n in waiting)
            # Enough stays free that the next job doesn't buy it back.
            if (
                free < (2 * kind.cpus if expensive else max(2 * kind.cpus, SLACK * total))
                or not expensive
                and self._worse(
                    self.cached_state.index(),
                    (name, *(r.machine for r in rooms.values() if r.spot and not room.spot)),
                    spare,
                    policy,
                )
            ):
                continue
            self.emptied[name] = now
            if await self.routing.ask_owner(frames.EVACUATE, name, True):
                # Each replica that moves is missed for about as long as a report takes.
                share = replica_cpus / max(replica_cpus, total_lasting)
                self.emptying_at = (
                    now + max(2.0, share / MOVING) * self.settings.cluster.workers.report_s
                )
            return
        # The best few are the same a moment later.
        self.emptying_at = now + 2 * self.settings.cluster.workers.report_s
