"""The owner's routines: answering reports, sending commands, telling homes,
fencing silent machines."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from collections.abc import Container, Iterable, Mapping
from typing import Any, Protocol

import curio
import msgspec

from clayport.jobs.registry import JobRegistry
from clayport.jobs.verdicts import Verdict
from clayport.leases.renewal import LeaseRenewal
from clayport.leases.watermark import CancellationWatermark
from clayport.machines.commands import MAX_COMMANDS
from clayport.machines.events import GONE
from clayport.machines.fencing import MachineFencing
from clayport.machines.machine import Machine
from clayport.machines.routing import Routing
from clayport.machines.table import Key, MachineTable
from clayport.membership.epoch import TOKEN_COUNTER_BITS, Epoch
from clayport.membership.stalls import StallDetector
from clayport.membership.state import MembershipState
from clayport.model import CloudMachine, Job, WorkerHeartbeat, split_task
from clayport.rebuild.support import RebuildSupport
from clayport.routines import Routines
from clayport.scaling.cloud import CloudError
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.policy import Policy
from clayport.scheduling.view import ClusterView
from clayport.settings import ConfigError, Settings, endpoint
from clayport.transport import frames, http
from clayport.transport.peers import Peer, PeerError

log = logging.getLogger(__name__)

Told = tuple[str, str, int, str, str, bool]


def void_token(epoch: Epoch, token: int) -> int:
    """A token above all that an owner gave out in an epoch, and below the next one's.

    For machines whose owner has ended. In an outage no epoch follows it, the others keep
    the machine's session alive, and a launch that was held on its way started a task of a job
    that had long been cancelled. The machine may not have seen any token of the epoch
    yet (the answer to its report was lost), or one of a later epoch, which is not ours
    to void.
    """
    if token >> TOKEN_COUNTER_BITS > epoch.number:
        return token
    return max(token, epoch.first_token | 1 << (TOKEN_COUNTER_BITS - 1))


class EventHandler(Protocol):
    """Takes in what owners tell of tasks, where this controller leads the job itself."""

    def told(self, events: Iterable[Told]) -> list[Verdict]:
        """Judge the events in order; a verdict for each."""
        ...


class ReplicaPlacement(Protocol):
    """Knows where a replica would find another place."""

    def policy(self) -> Policy:
        """What keeps work off machines, from all jobs known."""
        ...

    def movable(self, job: str, number: int, machine: str, drain: bool) -> bool:
        """Whether a replica would find another place where it starts soon."""
        ...


class CloudListing(Protocol):
    """Knows the machines as the cloud last listed them, by name."""

    @property
    def listed(self) -> dict[str, CloudMachine]:
        """The machines of the list."""
        ...


class Fleet:
    """Everything between this controller and the machines."""

    def __init__(
        self,
        *,
        cached_state: CachedState,
        fencing: MachineFencing,
        jobs: JobRegistry,
        machines: MachineTable,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        rebuild: RebuildSupport,
        renewal: LeaseRenewal,
        routines: Routines,
        settings: Settings,
        stalls: StallDetector,
        view: ClusterView,
        watermark: CancellationWatermark,
    ) -> None:
        self.cached_state = cached_state
        self.jobs = jobs
        self.machines = machines
        self.membership = membership
        self.peers = peers
        self.rebuild = rebuild
        self.renewal = renewal
        self.routines = routines
        self.settings = settings
        self.stalls = stalls
        self.view = view
        self.watermark = watermark
        self.clients: OrderedDict[str, http.Client] = OrderedDict()
        self.fencing = fencing
        # A quarter of the sockets is for the workers' own addresses, the rest but a reserve
        # (peers, state, cloud) for those who connect to us.
        self.max_clients = settings.cluster.machine_limits.max_sockets // 4
        self.forwarded: dict[str, float] = {}
        self.outboxes: dict[str, OrderedDict[tuple[str, str, int], Told]] = {}
        w = settings.cluster.workers
        # A worker whose report went unanswered needs 4 s and another second to
        # come to the next node: silence up to 0.6 leases is ordinary.
        self.silent_s = 0.6 * w.lease_s
        self.command_s = 0.2 * w.lease_s

    def connect(
        self,
        *,
        dispatcher: EventHandler,
        placer: ReplicaPlacement,
        provisioner: CloudListing,
        routing: Routing,
    ) -> None:
        """Set the parts that are built later than this one."""
        self.dispatcher = dispatcher
        self.placer = placer
        self.provisioner = provisioner
        self.routing = routing

    # -- reports ---------------------------------------------------------

    async def report(self, body: bytes) -> tuple[int, dict[str, Any]]:
        """Answer a worker's report."""
        try:
            report = msgspec.json.decode(body, type=WorkerHeartbeat)
        except msgspec.MsgspecError as exc:
            log.error("malformed report dropped: %s", exc)
            return 400, {}
        status, answer = await self._report(report, body)
        if status == 200:
            self._kill_cancelled(report, answer["orders"])
        return status, answer

    def _kill_cancelled(self, report: WorkerHeartbeat, orders: list[dict[str, Any]]) -> None:
        """Have what is known to be cancelled stopped by whoever answers the worker: the job's
        home may not be there, or belong to an epoch that can't be loaded, and a kill of
        such a task is right under any token."""
        ordered = {(o["piece"], o["try"]) for o in orders if o["verb"] == "kill"}
        orders += [
            {"verb": "kill", "piece": t.task, "try": t.attempt, "wind_down_s": 0.0}
            for t in report.tasks
            if t.state != "exited"
            and (t.task, t.attempt) not in ordered
            and self._cancelled(report, t.task.partition("/")[0])
        ][: MAX_COMMANDS - len(ordered)]

    def _cancelled(self, report: WorkerHeartbeat, job: str) -> bool:
        """Whether a job with a task on a machine is known to be over. One that is neither
        live nor known to have ended is, where all that was launched there was launched under
        epochs before ours: we have read what was live since."""
        return self.jobs.is_cancelled(job) or (
            self.rebuild.recovery is None and self._stranger(job) and self._before_us(report)
        )

    def _stranger(self, job: str) -> bool:
        return (
            self.membership.records_loaded
            and job not in self.jobs.live
            and job not in self.jobs.ended
        )

    def _before_us(self, report: WorkerHeartbeat) -> bool:
        epoch, number = self.membership.epoch, report.token >> TOKEN_COUNTER_BITS
        return number < epoch.number or (
            number == epoch.number and epoch.member_for(report.machine) == self.membership.label
        )

    async def _report(self, report: WorkerHeartbeat, body: bytes) -> tuple[int, dict[str, Any]]:
        now = time.monotonic()
        epoch = self.membership.epoch
        owner = epoch.member_for(report.machine)
        if self.renewal.superseded(now) and self.renewal.state_lost(now):
            return 421, {}
        if not self.renewal.may_renew(now):
            # Users may have been told of cancellations that we don't know of: a cancelled
            # task must not live on here past its deadline.
            return 503, {}
        if owner == self.membership.label and self.membership.serving:
            return self.own_report(report, now)
        if owner and owner != self.membership.label and self.membership.records_loaded:
            peer = self.peers.get(owner)
            last = self.forwarded.get(report.machine, -1e9)
            self.forwarded[report.machine] = now
            if len(self.forwarded) > 5000:
                self.forwarded.clear()
            reachable = peer is not None and now - peer.heard < self.membership.lease_ttl_s
            if reachable and now - last > self.silent_s:
                return 421, {"upstream": owner}
            # Back again although it was sent to its owner: the worker can't
            # reach it, so its report is passed on.
            if peer is not None and self.membership.is_member:
                try:
                    status, raw = await peer.call(frames.REPORT, (epoch.number, body))
                    if status == 200:
                        return 200, msgspec.json.decode(raw)
                except (PeerError, msgspec.DecodeError):
                    pass
        if self.renewal.may_renew(time.monotonic()) and not self._unsure(report):
            # No orders but kills: this starts nothing and takes nothing from whoever is
            # entitled. What an owner that has ended left on its way is void.
            ended = self._owner_ended(epoch, owner)
            token = void_token(epoch, report.token) if ended else report.token
            return 200, {"epoch": token, "orders": []}
        if owner and owner != self.membership.label:
            return 421, {"upstream": owner}
        return 503, {}

    def _owner_ended(self, epoch: Epoch, owner: str) -> bool:
        """Whether the process that an epoch names as the owner is known to have ended:
        another one has answered in its place. One that answered before we knew of the
        epoch may be its predecessor."""
        watermark, named = self.watermark, epoch.members.get(owner)
        heard = watermark.incarnations.get(owner)
        return (
            epoch is self.membership.epoch
            and bool(named and heard and named != heard)
            and watermark.promise_requested_at[owner] > self.membership.epoch_started_at
        )

    def _unsure(self, report: WorkerHeartbeat) -> bool:
        """Whether a machine has tasks of jobs that we can't say anything of: accepted, and
        perhaps cancelled, after we had last read the records."""
        return not self._before_us(report) and any(
            t.state != "exited" and self._stranger(t.task.partition("/")[0]) for t in report.tasks
        )

    def own_report(self, report: WorkerHeartbeat, now: float) -> tuple[int, dict[str, Any]]:
        if report.machine in self.machines.gone:
            # Held on its way: a machine that had been returned was open for work again, until
            # its silence was noticed.
            return 503, {}
        if not self.machines.accepts_token(report):
            self.membership.request_rescan()
            return 503, {}
        new = report.machine not in self.machines.machines
        m = self.machines.take_report(report, now, True)
        if m is None:
            return 200, {"epoch": self.machines.machine(report.machine, now).token, "orders": []}
        if new:
            room = self.view.rooms.get(report.machine)
            if room is not None:
                m.images.update({image: 0.0 for image in room.images})
            log.info(
                "machine=%s generation=%d event=owned type=%s zone=%s spot=%s",
                m.name,
                self.membership.epoch.number,
                m.type,
                m.zone,
                m.spot,
            )
        answer: dict[str, Any] = {"epoch": m.token, "orders": []}
        if m.orders and not m.busy:
            # Exited tasks take no room: that they are cleared can wait for a report's answer,
            # which costs nothing, and is repeated until they are no longer listed.
            if now < m.direct_paused_until or not m.urgent:
                answer["orders"], m.launches_in_response = self.machines.orders(m)
            else:
                self.routines.spawn(self.pump(m))
        self.cached_state.note_own_room()
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
            if len(self.clients) > self.max_clients:
                _, old = self.clients.popitem(last=False)
                self.routines.spawn(old.close())
        self.clients.move_to_end(address)
        return found

    def poke(self, machine: str) -> None:
        """Send what is queued for the machine, unless that is under way."""
        m = self.machines.machines.get(machine)
        if (
            m is not None
            and m.urgent
            and not m.busy
            and m.known
            and time.monotonic() >= m.direct_paused_until
        ):
            m.busy = True
            self.routines.spawn(self.pump(m, True))

    async def pump(self, m: Machine, marked: bool = False) -> None:
        """One request at a time to a machine, until nothing is queued for it."""
        if m.busy and not marked:
            return
        m.busy = True
        fence = self.membership.epoch.number
        try:
            while (
                m.orders
                and self.membership.epoch.number == fence
                and self.membership.serving
                and self.renewal.may_renew(time.monotonic())
            ):
                client = self.client(m.address)
                if client is None:
                    return
                orders, launches = self.machines.orders(m)
                token = m.token
                body = msgspec.json.encode({"epoch": token, "tenure": m.session, "orders": orders})
                try:
                    status, raw = await client.request("POST", "/do", body, self.command_s)
                except http.NoAnswerError as exc:
                    log.info("machine=%s event=unanswered %s", m.name, exc)
                    if self.membership.epoch.number == fence:
                        self.machines.unanswered(
                            m, launches, not isinstance(exc, http.NotSentError), time.monotonic()
                        )
                    return
                if self.membership.epoch.number != fence:
                    return
                if status == 200:
                    self.machines.answered(m, orders, launches)
                else:
                    self.machines.unanswered(m, launches, False, time.monotonic())
                if status in (200, 409):
                    self._body(m, raw)
                if status != 200:
                    log.info("machine=%s event=refused status=%d", m.name, status)
                    return
        finally:
            m.busy = False
        self.cached_state.note_own_room()

    def _body(self, m: Machine, raw: bytes) -> None:
        """The report in a command's answer."""
        try:
            report = msgspec.json.decode(raw, type=WorkerHeartbeat)
        except msgspec.MsgspecError as exc:
            log.error("machine=%s malformed answer dropped: %s", m.name, exc)
            return
        if report.machine != m.name:
            return
        if self.machines.accepts_token(report):
            heard = m.heard
            self.machines.take_report(report, time.monotonic(), False)
            m.heard = max(heard, m.heard)
        else:
            self.membership.request_rescan()

    # -- telling homes ---------------------------------------------------

    def emit(self, job: str, event: Told) -> None:
        leader = self.membership.epoch.member_for(job)
        box = self.outboxes.setdefault(leader, OrderedDict())
        box[event[:3]] = event
        self.routines.signal(f"outbox {leader}")

    async def tell(self, leader: str) -> None:
        """Deliver events to one home until it has taken them."""
        while True:
            await self.routines.wait(f"outbox {leader}")
            box = self.outboxes.setdefault(leader, OrderedDict())
            attempt = self.routing.start_attempt(leader)
            while box and self.membership.serving:
                epoch = self.membership.epoch
                batch = [box.popitem(last=False)[1] for _ in range(min(len(box), 500))]
                try:
                    if leader == self.membership.label:
                        ok, verdicts = True, self.dispatcher.told(batch)
                    else:
                        ok, packed = await self.peers[leader].call(
                            frames.TASK_STATES, (epoch.number, batch)
                        )
                        verdicts = [v for (v,) in packed]
                except (PeerError, KeyError):
                    ok, verdicts = False, []
                if self.membership.epoch is not epoch:
                    break
                if not ok or len(verdicts) != len(batch):
                    for event in batch:
                        box.setdefault(event[:3], event)
                    await self.routing.back_off(leader, attempt)
                    continue
                touched: dict[str, None] = {}
                for event, verdict in zip(batch, verdicts):
                    self._verdict(event, verdict)
                    touched[event[0]] = None
                for machine in touched:
                    self.poke(machine)
                self.cached_state.note_own_room()

    def _verdict(self, event: Told, verdict: int) -> None:
        machine, task, attempt, state = event[:4]
        key: Key = (task, attempt)
        owner = self.machines
        if verdict == Verdict.LATER:
            owner.emit_again(machine, key)
        elif verdict in (Verdict.JOB_AT_FAULT, Verdict.MACHINE_AT_FAULT):
            owner.judge(machine, task.partition("/")[0], verdict == Verdict.JOB_AT_FAULT)
        elif state == GONE:
            owner.settled(machine, key)
        elif verdict == Verdict.KILL:
            owner.stop([(machine, task, attempt, 0.0, False)])
        elif verdict == Verdict.CLEAR:
            owner.stop([(machine, task, attempt, 0.0, True)])

    def evacuate(self, name: str, drain: bool) -> bool:
        """Begin to move a machine's replicas off: to drain it, all of them; otherwise as
        many as the guest of its GPUs needs to fit again."""
        m = self.machines.machines.get(name)
        now = time.monotonic()
        if (
            m is None
            or m.evacuating
            or not self.machines.replicas(m)
            or now - m.evacuated_at < self.settings.cluster.workers.lease_s / 2
            or not (self.machines.open(m) or self.machines.is_unhealthy(m))
        ):
            return False
        log.info(
            "machine=%s event=evacuate replicas=%d drain=%s",
            name,
            len(self.machines.replicas(m)),
            drain,
        )
        m.evacuating, m.evacuated_at = True, now
        m.draining = drain
        self.machines.touch(name)
        self.routines.spawn(self._evacuate(m, drain))
        return True

    async def _evacuate(self, m: Machine, drain: bool) -> None:
        """One replica at a time, each only while its home has another place for it."""
        epoch = self.membership.epoch
        try:
            while (
                self.membership.epoch is epoch and self.membership.serving and m.notice_at is None
            ):
                replicas = [r for r in self.machines.replicas(m) if r[0] not in m.pending_kills]
                kind = self.machines.types.get(m.type)
                if kind is None or not replicas:
                    return
                room = self.machines.room(m)
                if not drain and self.placer.policy().blocked(room, kind) <= 0:
                    return
                for key, job in replicas:
                    if await self._movable(m, key, job, drain):
                        m.pending_kills.setdefault(key, 0.0)
                        self.poke(m.name)
                        await self.routines.flush()
                        break
                else:
                    m.draining = False
                    self.machines.touch(m.name)
                    return
                await curio.sleep(self.settings.cluster.workers.report_s / 2)
        finally:
            m.evacuating = False

    async def _movable(self, m: Machine, key: Key, job: Job, drain: bool) -> bool:
        number = split_task(key[0])[1]
        leader = self.membership.epoch.member_for(job.id)
        if leader == self.membership.label:
            return self.placer.movable(job.id, number, m.name, drain)
        try:
            return bool(
                (
                    await self.peers[leader].call(
                        frames.MOVE, (self.membership.epoch.number, job.id, number, m.name, drain)
                    )
                )[0]
            )
        except (PeerError, KeyError):
            return False

    # -- silence ---------------------------------------------------------

    async def watch_silence(self) -> None:
        """Fence machines that fell silent: a task on one can't be judged otherwise."""
        while True:
            await curio.sleep(self.settings.cluster.workers.report_s)
            now = time.monotonic()
            if not self.stalls.check(now) or not self.membership.serving:
                continue
            self.machines.expire(now)
            if self.membership.away or self.renewal.state_lost(now):
                continue  # possibly evicted: see Provisioner.run
            mine = list(self.machines.machines.values())
            for m in mine:
                # Not at once: the job that failed there may yet prove to be at fault.
                m.unhealthy_checks = m.unhealthy_checks + 1 if self.machines.is_unhealthy(m) else 0
                if m.unhealthy_checks >= 3 and m.known:
                    self.evacuate(m.name, True)
            silent = [
                m
                for m in mine
                if now - m.heard > self.silent_s and not m.fencing and (m.known or m.desired)
            ]
            # When most are silent at once it is we who are cut off, or a whole
            # zone is: returning them all would destroy what still works.
            cut = len(silent) > 2 and len(silent) * 2 > len(mine)
            for m in silent:
                circuit = self.settings.cluster.workers.cancel_s / 2
                if not cut or now - m.heard > circuit:
                    m.fencing = True
                    self.machines.touch(m.name)
                    self.routines.spawn(self._fence(m))

    async def _fence(self, m: Machine) -> None:
        epoch = self.membership.epoch
        try:
            # An owner that has not heard the machine yet knows its address from the
            # cached state or the list; with none, silence alone is no ground to return a
            # machine that may well work (fifteen were, when one controller lost the
            # state service).
            room, listed = self.view.rooms.get(m.name), self.provisioner.listed.get(m.name)
            address = (
                m.address or (room.address if room else "") or (listed.address if listed else "")
            )
            if (
                not address
                and time.monotonic() - m.heard < self.settings.cluster.workers.cancel_s / 2
            ):
                return
            answers = bool(address) and await self._answers(m.name, address, epoch.members)
            if self.membership.epoch is not epoch or not self.membership.serving:
                return
            if not self._useless(m) and (answers or time.monotonic() - m.heard < self.silent_s):
                return
            log.info(
                "machine=%s generation=%d event=fence cause=silent tasks=%d",
                m.name,
                epoch.number,
                len(m.desired),
            )
            if epoch.provisioner == self.membership.label:
                await self.fencing.fence(m.name)
            else:
                await self.peers[epoch.provisioner].call(
                    frames.FENCE, (epoch.number, m.name, "silent"), 10 * self.command_s
                )
        except (PeerError, CloudError, KeyError) as exc:
            log.info("machine=%s event=not-fenced cause=%s", m.name, exc)
        finally:
            m.fencing = False
            if m.name in self.machines.machines:
                self.machines.touch(m.name)

    def _useless(self, m: Machine) -> bool:
        """Whether a machine answers commands, but has let its lease run out for long."""
        return m.lease_expired and (
            time.monotonic() - m.reported_at > self.settings.cluster.workers.cancel_s / 2
        )

    async def _answers(self, name: str, address: str, members: Container[str]) -> bool:
        """Whether the worker answers us or a peer, both asked at once: one after the other,
        a machine that had ended was returned only after its lease was over, and its replicas
        were missed for so much longer."""
        async with curio.TaskGroup(wait=all) as group:
            found = [
                await group.spawn(self.inspect, name, address),
                await group.spawn(self._answers_peer, name, address, members),
            ]
        return any(task.result for task in found)

    async def _answers_peer(self, name: str, address: str, members: Container[str]) -> bool:
        """The same of the first peer that answers."""
        for label, peer in self.peers.items():
            if label in members:
                try:
                    return bool(
                        (await peer.call(frames.INSPECT, (name, address), self.command_s * 1.5))[0]
                    )
                except PeerError:
                    continue
        return False

    async def inspect(self, name: str, address: str) -> bool:
        """Whether the worker itself answers; what it says is used where we own it."""
        client = self.client(address)
        if client is None:
            return False
        try:
            status, raw = await client.request("GET", "/inspect", None, self.command_s)
        except http.NoAnswerError:
            return False
        m = self.machines.machines.get(name)
        if status == 200 and m is not None:
            self._body(m, raw)
        return status == 200
