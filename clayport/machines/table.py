"""The owner's side: machines, their leases, tokens and commands.

An owner believes a task gone only on a report that carries the token it gave
out last (so that no older command can still run), never on silence.
"""

from __future__ import annotations

import logging
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any

from clayport.membership.epoch import TOKEN_COUNTER_BITS, Epoch
from clayport.model import SERVICE, Job, MachineType, WorkerHeartbeat, split_task
from clayport.scheduling.placement import Room, capacity

log = logging.getLogger(__name__)

Key = tuple[str, int]  # task, attempt

# Phases of a task that a home wants on a machine.
RESERVED, QUEUED, SENT, LIVE = range(4)
# Commands per request, so that 64 KiB always suffice.
MAX_COMMANDS = 300
# Jobs of which is remembered whose fault their errors were.
MAX_JUDGED_JOBS = 1000
# Machines no longer here whose end is remembered as a change of the table.
MAX_TABLE_CHANGES = 1000
# Machines whose return is remembered, so that a late report doesn't bring them back.
MAX_GONE_MACHINES = 5000


class DesiredTask:
    """A task that its home wants here, or has wanted and not yet settled."""

    __slots__ = ("phase", "since", "tried")

    def __init__(self, phase: int, since: float) -> None:
        self.phase, self.since = phase, since
        self.tried = False  # a launch has been sent at least once


class Machine:
    """A machine as its owner knows it."""

    def __init__(self, name: str, token: int, now: float) -> None:
        self.name, self.token = name, token
        self.address = self.type = self.zone = ""
        self.spot = False
        self.session = self.seq = 0
        self.fenced = False  # the newest report carries the current token
        self.heard = now  # when a report last came, or when the ownership began
        self.known = False  # a report has come under this ownership
        self.reported_at = now  # when a report last came, and not a command's answer
        # Its lease ran out and it has only answered commands since: what is started there
        # ends with the next lease, again and again.
        self.lapsed = False
        self.notice_at: float | None = None
        self.draining = False
        self.evacuating = False
        self.evacuated_at = -1e9
        self.listed: dict[Key, tuple[str, str, bool]] = {}
        self.told: dict[Key, tuple[str, str, bool]] = {}
        self.desired: dict[Key, DesiredTask] = {}
        self.kills: dict[Key, float] = {}
        self.clears: dict[Key, None] = {}
        self.images: OrderedDict[str, float] = OrderedDict()
        self.idle_since = now
        self.bad_until = -1e9  # /do did not get through: use report responses
        self.by_response: list[Key] = []  # launches sent in the last report response
        self.errors: dict[str, int] = {}  # job: failures here since the last success
        self.unhealthy_checks = 0  # looks in a row at which it was found sick
        self.busy = False  # a /do is in flight
        self.fencing = False
        # Room made by preemption is kept for the job it was made for: others of
        # its rank would otherwise take it first.
        self.hold_job, self.hold_until = "", -1e9
        # Its room as last built: reports, reservations, the cached state and the peers' tables
        # all ask for it, and most of the time nothing has changed.
        self.built: Room | None = None

    @property
    def urgent(self) -> bool:
        """Whether something is to be started or stopped."""
        return bool(self.kills or any(w.phase == QUEUED for w in self.desired.values()))

    @property
    def orders(self) -> bool:
        return bool(self.clears) or self.urgent


GONE = "gone"


class MachineTable:
    """State of all machines owned here; every method is free of I/O.

    `job_of` finds a job's description, `over` says whether it is known to be cancelled, `emit`
    hands an event to the home.
    """

    def __init__(
        self,
        job_of: Callable[[str], Job | None],
        over: Callable[[str], bool],
        emit: Callable[[str, tuple[str, str, int, str, str, bool]], None],
        reserve_s: float,
        direct_pause_s: float,
    ) -> None:
        self.job_of, self.over, self.emit = job_of, over, emit
        self.reserve_s, self.direct_pause_s = reserve_s, direct_pause_s
        self.machines: dict[str, Machine] = {}
        # Machines whose return is confirmed; their names are not used again.
        self.gone: OrderedDict[str, None] = OrderedDict()
        self.types: dict[str, MachineType] = {}
        self.epoch: Epoch | None = None
        # What of the free-room table changed when, so that a cached state is renewed by what
        # changed and not by building every room anew: a revision for each machine, the
        # latest last, and the revision up to which that is not known.
        self.room_rev = 0
        self.changes: OrderedDict[str, int] = OrderedDict()
        self.whole_rev = 0
        # What homes have judged: jobs that fail by their own fault, and those that do not.
        self.failing_jobs: dict[str, None] = {}
        self.healthy_jobs: dict[str, None] = {}

    def begin(self, epoch: Epoch, me: str) -> None:
        """A new epoch: tokens rise and every want is adopted anew.

        What the reports said of machines that stay ours is kept, so that they
        take work again at once; that they are settled is not.
        """
        self.epoch = epoch
        for name in [n for n in self.machines if epoch.member_for(n) != me]:
            del self.machines[name]
        for m in self.machines.values():
            m.token = epoch.first_token + 1
            m.fenced = m.fencing = False
            m.by_response = []
            for holder in (m.desired, m.told, m.kills, m.clears):
                holder.clear()
        self.touch_all()

    def stood_still(self, gap_s: float) -> None:
        """We stood still: what came meanwhile is still to be read, so nobody was silent."""
        for m in self.machines.values():
            m.heard += gap_s
            m.reported_at += gap_s

    def machine(self, name: str, now: float) -> Machine:
        assert self.epoch is not None
        found = self.machines.get(name)
        if found is None:
            found = self.machines[name] = Machine(name, self.epoch.first_token + 1, now)
        return found

    # -- what changed ----------------------------------------------------

    def touch(self, name: str) -> None:
        """The machine's room has changed, or the machine is gone."""
        m = self.machines.get(name)
        if m is not None:
            m.built = None
        self.room_rev += 1
        self.changes[name] = self.room_rev
        self.changes.move_to_end(name)
        while len(self.changes) > MAX_TABLE_CHANGES + len(self.machines):
            self.whole_rev = self.changes.popitem(last=False)[1]

    def touch_all(self) -> None:
        for m in self.machines.values():
            m.built = None
        self.room_rev += 1
        self.whole_rev = self.room_rev
        self.changes.clear()

    def changed(self, since: int) -> list[str] | None:
        """Machines that changed after the revision; None: any may have."""
        if since < self.whole_rev or since > self.room_rev:
            return None
        found = []
        for name in reversed(self.changes):
            if self.changes[name] <= since:
                break
            found.append(name)
        return found

    # -- reports ---------------------------------------------------------

    def entitled(self, report: WorkerHeartbeat) -> bool:
        """False when a successor has given out a token of a later epoch.

        A higher one of ours was given out by a peer that took us for ended.
        """
        assert self.epoch is not None
        return report.token >> TOKEN_COUNTER_BITS <= self.epoch.number

    def take_report(self, report: WorkerHeartbeat, now: float, reported: bool) -> Machine | None:
        """Apply a report; None for one that is older than what is known. `reported`: the worker
        sent it to a controller, so its answer renews the lease; a command's doesn't.

        Reports held in the network arrive minutes late: (session, seq) tells.
        """
        m = self.machine(report.machine, now)
        if m.known and (report.session, report.seq) <= (m.session, m.seq):
            return None
        if m.known and report.session > m.session:
            m.kills.clear()
            m.clears.clear()
            m.lapsed = not reported
        # A machine that is new or closes without any task changes the room as well:
        # peers pull a table only when its revision has moved.
        shown = (m.known, self.open(m))
        m.known = True
        m.session, m.seq, m.heard = report.session, report.seq, now
        if reported:
            m.reported_at, m.lapsed = now, False
        m.address, m.type, m.zone, m.spot = report.address, report.type, report.zone, report.spot
        m.notice_at = None if report.notice_s is None else now + report.notice_s
        # Only under the current token is an older command known to be void.
        m.token = max(m.token, report.token)
        m.fenced = report.token == m.token
        listed: dict[Key, tuple[str, str, bool]] = {}
        for piece in report.tasks:
            listed[(piece.task, piece.attempt)] = (piece.state, piece.why, piece.saved)
        before, m.listed = m.listed, listed
        for key, status in listed.items():
            desired = m.desired.get(key)
            if desired is not None and desired.phase in (QUEUED, SENT):
                desired.phase = LIVE
            if m.told.get(key) != status:
                self._tell(m, key, status)
        if before != listed:
            for key, status in listed.items():
                if status[0] == "running" or status[1] == "done":
                    self._cached(m, key)
        for key in m.by_response:
            # The worker has one report in flight: what the previous response
            # ordered is listed now, or that response was dropped.
            desired = m.desired.get(key)
            if desired is not None and desired.phase == SENT:
                desired.phase = LIVE if key in m.kills else QUEUED
        m.by_response = []
        if m.kills:
            m.kills = {k: g for k, g in m.kills.items() if k in listed or k in m.desired}
        if m.notice_at is not None:
            self._save(m)
        if m.fenced:
            for key, desired in m.desired.items():
                if (
                    desired.phase == LIVE
                    and key not in listed
                    and m.told.get(key, ("",))[0] != GONE
                ):
                    self._tell(m, key, (GONE, "", False))
        if len(m.told) > len(listed):
            for key in [k for k in m.told if k not in listed and k not in m.desired]:
                del m.told[key]
        if m.clears:
            m.clears = dict.fromkeys(key for key in m.clears if key in listed)
        if before != listed or shown != (True, self.open(m)):
            self._touched(m, now)
        return m

    def _save(self, m: Machine) -> None:
        """The cloud takes the machine: tasks that can save are stopped to do so."""
        for key, status in m.listed.items():
            job = self.job_of(key[0].partition("/")[0])
            if (
                status[0] == "running"
                and job is not None
                and job.checkpoint_s > 0
                and key not in m.kills
            ):
                m.kills[key] = job.save_s

    def unhealthy(self, m: Machine) -> bool:
        """A machine that fails the work of several jobs, or again and again that of one that
        runs well elsewhere, and completes none."""
        return bool(m.errors) and (
            len(m.errors) >= 2
            or any(n >= 2 and job in self.healthy_jobs for job, n in m.errors.items())
        )

    def judge(self, name: str, job: str, at_fault: bool) -> None:
        """A home says whose fault an error was. What a job failed by its own is held
        against no machine: a few such jobs once closed sound ones."""
        here, there = (
            (self.failing_jobs, self.healthy_jobs)
            if at_fault
            else (self.healthy_jobs, self.failing_jobs)
        )
        there.pop(job, None)
        known = job in here
        here[job] = None
        while len(here) > MAX_JUDGED_JOBS:
            here.pop(next(iter(here)))
        if at_fault and not known:
            log.info("job=%s event=at-fault", job)
            self._forgive(job)
        m = self.machines.get(name)
        if m is not None and not at_fault and job in m.errors and self.unhealthy(m):
            log.info("machine=%s job=%s event=sick errors=%d", name, job, sum(m.errors.values()))
            self.touch(name)

    def ended(self, job: str, status: str) -> None:
        """A job is over, and what was judged of it; a user cancels what has a mistake."""
        self.healthy_jobs.pop(job, None)
        self.failing_jobs.pop(job, None)
        if status == "cancelled":
            self._forgive(job)

    def _forgive(self, job: str) -> None:
        for m in self.machines.values():
            if m.errors.pop(job, 0):
                self.touch(m.name)

    def _tell(self, m: Machine, key: Key, status: tuple[str, str, bool]) -> None:
        m.told[key] = status
        if status[1] == "error":
            job = key[0].partition("/")[0]
            if job not in self.failing_jobs:
                m.errors[job] = m.errors.get(job, 0) + 1
            if self.unhealthy(m):
                log.info(
                    "machine=%s job=%s event=sick errors=%d", m.name, job, sum(m.errors.values())
                )
        elif status[1] == "done":
            m.errors.clear()
        self.emit(key[0].partition("/")[0], (m.name, key[0], key[1], *status))

    def retell(self, machine: str, key: Key) -> None:
        """The home could not judge the event yet: tell it again with a later report."""
        m = self.machines.get(machine)
        if m is not None:
            m.told.pop(key, None)

    def settled(self, machine: str, key: Key) -> None:
        """The home has taken note that the task is gone."""
        m = self.machines.get(machine)
        if m is not None and key not in m.listed:
            desired = m.desired.get(key)
            if desired is not None and desired.phase == LIVE:
                del m.desired[key]
                self.touch(machine)

    def _cached(self, m: Machine, key: Key) -> None:
        job = self.job_of(key[0].partition("/")[0])
        kind = self.types.get(m.type)
        if job is None or kind is None:
            return
        m.images[job.image] = job.image_gb
        m.images.move_to_end(job.image)
        # The worker keeps the most recently used images that fit its cache.
        held = sum(m.images.values())
        while held > kind.cache_gb and len(m.images) > 1:
            held -= m.images.popitem(last=False)[1]

    def _touched(self, m: Machine, now: float) -> None:
        self.touch(m.name)
        for key in (*m.desired, *(k for k, s in m.listed.items() if s[0] != "exited")):
            job = self.job_of(key[0].partition("/")[0])
            if job is None or job.standing >= 0:
                m.idle_since = now
                return

    # -- what homes ask --------------------------------------------------

    def reserve(
        self, job: Job, items: Iterable[tuple[str, int]], attempt: int, now: float
    ) -> list[bool]:
        """Keep room for tasks; refused where it is short (the decline that ASC counts)."""
        granted = []
        rooms: dict[str, Room] = {}  # of machines asked for several tasks: built once
        for name, number in items:
            m = self.machines.get(name)
            if m is not None and name not in rooms:
                rooms[name] = self.room(m)
            # A reservation never replaces what is wanted or there already: let go, it
            # would be taken to have never been sent.
            ok = (
                m is not None
                and (f"{job.id}/{number}", attempt) not in m.desired
                and (f"{job.id}/{number}", attempt) not in m.listed
                and rooms[name].fits(job)
                and (m.hold_job == job.id or now >= m.hold_until)
            )
            if ok and m is not None:
                m.desired[(f"{job.id}/{number}", attempt)] = DesiredTask(RESERVED, now)
                rooms[name].take(job)
                if job.standing >= 0:
                    m.idle_since = now
                self.touch(name)
            granted.append(ok)
        return granted

    def launch(self, items: Iterable[tuple[str, str, int]]) -> list[int]:
        """Queue launches; 0: no reservation, so it isn't and won't be launched.

        Only a standing reservation is launched. That guards against a launch
        request that was held in the network and arrives when its home has long
        settled the attempt and put the task elsewhere.
        """
        answers = []
        for name, task, attempt in items:
            m = self.machines.get(name)
            desired = m.desired.get((task, attempt)) if m is not None else None
            if desired is not None and desired.phase == RESERVED:
                desired.phase = QUEUED
            answers.append(0 if desired is None else 1)
        return answers

    def stop(self, items: Iterable[tuple[str, str, int, float, bool]]) -> None:
        """Kill (or, with the flag, clear) tasks."""
        for name, task, attempt, grace, clear in items:
            m = self.machines.get(name)
            if m is None:
                continue
            key = (task, attempt)
            desired = m.desired.get(key)
            if desired is not None and desired.phase in (RESERVED, QUEUED) and not desired.tried:
                # Never sent: settled at once.
                del m.desired[key]
                self.touch(name)
                self.emit(task.partition("/")[0], (name, task, attempt, GONE, "", False))
            elif clear:
                m.desired.pop(key, None)
                self.touch(name)
                if m.listed.get(key, ("",))[0] == "exited":
                    m.clears[key] = None
            else:
                if desired is not None and desired.phase == QUEUED:
                    # Sent before without an answer: no new launch, and the next
                    # report under the raised token settles the old one.
                    desired.phase = LIVE
                m.kills[key] = min(grace, m.kills.get(key, grace))

    def preempt(
        self,
        job: Job,
        name: str,
        grace_s: float,
        now: float,
        over: Iterable[str] = (),
        count: int = 1,
    ) -> bool:
        """Stop work of lower rank until `count` tasks of `job` fit; whether one will.

        Of the lowest rank first, and what can save its progress before what can't.
        What would save for longer than `grace_s` goes back to its last checkpoint.
        Teams in `over` have borrowed what is now claimed: their work goes whatever
        its rank, but for replicas.
        """
        m = self.machines.get(name)
        if m is None or not self.open(m) or (now < m.hold_until and m.hold_job != job.id):
            return False
        room = self.room(m)
        # Work that is being stopped already is on its way out.
        victims = []
        for key, status in m.listed.items():
            victim = self.job_of(key[0].partition("/")[0])
            if victim is None or status[0] == "exited":
                continue
            if key in m.kills or status[0] == "saving":
                room.take(victim, -1)
            elif victim.rank < job.rank or (victim.team in over and victim.kind != SERVICE):
                victims.append((victim.standing, victim.checkpoint_s == 0, key, victim))
        chosen: list[tuple[Key, Job]] = []
        for _, _, key, victim in sorted(victims, key=lambda v: v[:3]):
            if capacity(job, room) >= count:
                break
            room.take(victim, -1)
            chosen.append((key, victim))
        if not room.fits(job):
            return False  # not worth stopping anything
        longest = 0.0
        for key, victim in chosen:
            grace = victim.save_s if victim.checkpoint_s > 0 and victim.save_s <= grace_s else 0.0
            m.kills[key] = grace
            longest = max(longest, grace)
        if m.hold_job != job.id:
            self.touch(name)
        m.hold_job, m.hold_until = job.id, now + longest + self.direct_pause_s
        log.info("machine=%s job=%s event=preempt tasks=%d", name, job.id, len(chosen))
        return True

    def adopt(self, items: Iterable[tuple[str, str, int]], now: float) -> None:
        """Assignments that a home found committed: to be judged by fenced reports."""
        for name, task, attempt in items:
            m = self.machine(name, now)
            key = (task, attempt)
            if key not in m.desired:
                m.desired[key] = DesiredTask(LIVE, now)
                self.touch(name)
            elif m.desired[key].phase == RESERVED:
                m.desired[key].phase = LIVE
            m.told.pop(key, None)
            if key in m.listed:
                self._tell(m, key, m.listed[key])
            elif m.known and m.fenced and m.desired[key].phase == LIVE:
                self._tell(m, key, (GONE, "", False))

    def removed(self, names: Iterable[str]) -> None:
        """The cloud has confirmed the machines' return."""
        for name in names:
            self.gone[name] = None
            if len(self.gone) > MAX_GONE_MACHINES:
                self.gone.popitem(last=False)
            m = self.machines.pop(name, None)
            if m is not None:
                self.touch(name)
                # Homes are told as well: one that took over a moment ago has adopted its
                # tasks here after it heard of the return, and would wait for ever.
                for key, desired in m.desired.items():
                    if desired.phase != RESERVED:
                        self.emit(key[0].partition("/")[0], (name, *key, GONE, "", False))

    def drain(self, name: str) -> bool:
        """Close an idle machine for good; False when something is or may be on it.

        Work without any aim that saves its progress does so and goes on elsewhere: it must
        not keep an ordinary machine rented.
        """
        m = self.machines.get(name)
        if m is None:
            return True
        room = self.room(m)
        if room.tasks and room.idle:
            m.draining = True
            for key, status in m.listed.items():
                job = self.job_of(key[0].partition("/")[0])
                if job is not None and job.checkpoint_s > 0 and status[0] == "running":
                    m.kills.setdefault(key, job.save_s)
            self.touch(name)
            return False
        if m.desired or any(s[0] != "exited" for s in m.listed.values()):
            # What has exited is told again: where the home's answer was lost, with nothing
            # else to remind it, the machine was never given back.
            for key in m.desired:
                if m.listed.get(key, ("",))[0] == "exited":
                    m.told.pop(key, None)
            return False
        m.draining = True
        self.touch(name)
        return True

    def replicas(self, m: Machine) -> list[tuple[Key, Job]]:
        """The replicas on a machine that would have to move."""
        found = []
        for key, status in m.listed.items():
            job = self.job_of(key[0].partition("/")[0])
            if job is not None and job.kind == SERVICE and status[0] != "exited":
                found.append((key, job))
        return found

    def expire(self, now: float) -> None:
        """Drop reservations whose home has not come back for them, and room kept too long."""
        for m in self.machines.values():
            if m.hold_job and now >= m.hold_until:
                m.hold_job = ""
                self.touch(m.name)
            for key in [
                k
                for k, w in m.desired.items()
                if w.phase == RESERVED and now - w.since > self.reserve_s
            ]:
                del m.desired[key]
                self.touch(m.name)

    # -- commands --------------------------------------------------------

    def orders(self, m: Machine) -> tuple[list[dict[str, Any]], list[Key]]:
        """Commands to send now; launches among them become SENT."""
        out: list[dict[str, Any]] = []
        for key in list(m.clears)[:MAX_COMMANDS]:
            out.append({"verb": "clear", "piece": key[0], "try": key[1]})
        for key, grace in list(m.kills.items())[:MAX_COMMANDS]:
            out.append({"verb": "kill", "piece": key[0], "try": key[1], "wind_down_s": grace})
        launches = []
        for key in [k for k, w in m.desired.items() if w.phase == QUEUED][:MAX_COMMANDS]:
            if self.over(key[0].partition("/")[0]):
                # Cancelled since; its home may not be there to say so.
                self.stop([(m.name, *key, 0.0, False)])
                continue
            launches.append(key)
            m.desired[key].phase = SENT
            m.desired[key].tried = True
            out.append({"verb": "launch", "piece": key[0], "try": key[1]})
        return out, launches

    def answered(self, m: Machine, orders: list[dict[str, Any]], launches: list[Key]) -> None:
        """The worker has executed the commands."""
        for key in launches:
            desired = m.desired.get(key)
            if desired is not None and desired.phase == SENT:
                desired.phase = LIVE
        for order in orders:
            key = (order["piece"], order["try"])
            if order["verb"] == "kill":
                m.kills.pop(key, None)

    def unanswered(self, m: Machine, launches: list[Key], sent: bool, now: float) -> None:
        """No answer: raise the token, which voids what may still be on its way."""
        for key in launches:
            desired = m.desired.get(key)
            if desired is not None and desired.phase == SENT:
                # What was killed meanwhile must not be launched again: a job that was
                # cancelled while its launch was on its way once was.
                desired.phase = LIVE if key in m.kills else QUEUED
        if sent:
            m.token += 1
            m.fenced = False
        m.bad_until = now + self.direct_pause_s

    # -- room ------------------------------------------------------------

    def open(self, m: Machine) -> bool:
        return (
            m.known
            and not m.draining
            and m.notice_at is None
            and not m.fencing
            and not m.lapsed
            and not self.unhealthy(m)
        )

    def room(self, m: Machine, owner: str = "", now: float | None = None) -> Room:
        """The machine's free room: everything wanted or still listed is counted. A copy
        that the caller may charge."""
        if m.built is None or m.built.open != (self.open(m) and m.type in self.types):
            found, known = self._build(m)
            # What is on it with no job known for it may become known without a touch.
            m.built = found if known else None
        else:
            found = m.built
        room = found.copy()
        room.owner = owner
        if room.idle:
            room.idle_since = m.idle_since
        if now is not None:
            room.hold = m.hold_job if now < m.hold_until else ""
        return room

    def _build(self, m: Machine) -> tuple[Room, bool]:
        kind = self.types.get(m.type)
        room = Room(
            m.name,
            m.address,
            m.type,
            m.zone,
            m.spot,
            self.open(m) and kind is not None,
            kind.cpus if kind else 0.0,
            kind.gpus if kind else 0.0,
            kind.memory_gb if kind else 0.0,
            0,
            m.images,
            math.inf,
            "",
        )
        known = True
        keys = dict.fromkeys(k for k, s in m.listed.items() if s[0] != "exited")
        keys.update(dict.fromkeys(k for k in m.desired if m.listed.get(k, ("",))[0] != "exited"))
        counts: dict[str, int] = {}
        for key in keys:
            job = key[0].partition("/")[0]
            counts[job] = counts.get(job, 0) + 1
        for name, count in counts.items():
            guest = self.job_of(name)
            if guest is not None:
                room.take(guest, count)
            else:
                room.tasks += count
                known = False
        return room, known

    def jobs_on(self, name: str) -> set[str]:
        m = self.machines.get(name)
        return {split_task(k[0])[0] for k in (*m.desired, *m.listed)} if m else set()
