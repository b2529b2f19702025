"""From the first doubt to records that hold again: the routines. What is decided stands in
`history`, `merge` and `plan`."""

from __future__ import annotations

import logging
import math
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import curio
import msgspec

from .. import http, peerwire
from ..cloud import RETURN_MOST, CloudError
from ..jobs import GENERATION_KEY, end_key, end_value, live_key
from ..limits import Deadline
from ..membership import COUNTER_BITS, Generation
from ..mirror import rebuilds
from ..model import Report, chunk_size, split_task
from ..peers import PeerError
from ..statestore import LEASE_S, Conflict, Entry, Txn, Unavailable, Unknown
from . import evidence, plan
from .evidence import Evidence, Task
from .history import (
    HEAD_KEY,
    PREFIXES,
    REBUILDING,
    WHOLE,
    History,
    anchor_key,
    anchor_value,
    is_anchor,
)
from .merge import merge

if TYPE_CHECKING:
    from ..server import Controller
    from .recorder import Recorder

log = logging.getLogger("clayport.rebuild")

# Machines asked at a time.
ASKED = 32


class Said(NamedTuple):
    """What a peer says of the history that it acts on."""

    name: str
    number: int
    floor: int
    doubt: bool
    seen: int  # up to which revision it holds the records under `c/` in memory


class ConcurrentChangeError(Exception):
    """Somebody else has changed something: look anew."""


class Recovery:
    """Notices that records are gone, stands still, and puts them together again."""

    def __init__(self, core: Controller, directory: str = "", second_copy: bool = False) -> None:
        self.core, self.second_copy = core, second_copy
        self.recorder: Recorder | None = None
        self.remembered: Evidence | None = None
        if directory:
            from .recorder import Recorder  # imported only where there is a disk

            self.recorder = Recorder(core, Path(directory))
            self.remembered = self.recorder.load()
        self.history = History(self._stand_still)
        core.store.history = self.history
        core.store.check_in = self.check_in
        # Nobody acts before it is known whether the records are those that were left.
        self.history.suspect("just begun")
        self.loaded = False  # this generation's share was taken over when doubt came
        self.packed: tuple[str, list[bytes]] = ("", [])
        self.asking: curio.Event | None = None
        self.head_rev = 0
        self.since = time.monotonic()

    # -- noticing --------------------------------------------------------

    def _stand_still(self) -> None:
        core = self.core
        self.loaded, self.since = core.serving, time.monotonic()
        core.serving = False
        self.packed = ("", [])
        log.info("event=doubt cause=%r", self.history.doubt)
        core.signal("history")

    async def check_in(self) -> None:
        """Ask the peers what they have seen, and then the state service, before anything is
        written: it has not answered for a moment, or a generation begins. (Unavailable if it
        doesn't answer now.)

        Read before the first write of each of us: the revisions of what is written after a
        loss soon are what they were, and nobody would have noticed.
        """
        if self.asking is not None:
            await self.asking.wait()
            return
        h, core, now = self.history, self.core, time.monotonic()
        self.asking = curio.Event()
        try:
            async with curio.TaskGroup(wait=all) as group:
                for label, peer in core.peers.items():
                    if now - peer.heard < core.ttl_s and self._understands(label):
                        await group.spawn(self._exchange, label)
            floor = h.floor
            _, rev = await core.store.scan(HEAD_KEY, doubtful=True)
            h.unsure = False
            h.answered(rev, floor)
        except Unknown as exc:
            raise Unavailable(str(exc)) from None
        finally:
            asking, self.asking = self.asking, None
            await asking.set()

    async def _exchange(self, label: str) -> Said | None:
        """What a peer has seen; None without an answer."""
        h, core = self.history, self.core
        try:
            said = Said(
                *await core.peers[label].call(
                    peerwire.HISTORY,
                    (h.name, h.number, h.floor, bool(h.doubt), core.mirror.seen),
                    core.ttl_s / 4,
                )
            )
        except (PeerError, KeyError):
            return None
        h.told(*said[:4])
        return said

    async def second(self, rev: int, deadline: Deadline) -> None:
        """Until a second place has what was committed at the revision: our disk, or the
        memory of another controller. Unavailable if that can't be known in time (the user
        asks again, and is told of the job as it is)."""
        if not self.second_copy or not self.history.name:
            return
        core, name = self.core, self.history.name
        pause_s = core.ttl_s / 256  # a watch tells of a change within milliseconds
        while deadline.allows(time.monotonic(), pause_s):
            if self.recorder is not None and self.recorder.synced >= rev:
                return
            for label in sorted(core.peers, key=lambda x: -core.peers[x].heard):
                if self._understands(label):
                    said = await self._exchange(label)
                    if said is not None and said.name == name and said.seen >= rev:
                        return
                    if said is not None:
                        break  # it is about to: its watch takes a moment
            await curio.sleep(pause_s)
        raise Unavailable("no second copy in time")

    def _understands(self, label: str) -> bool:
        return rebuilds(self.core.versions.get(label, (0, 0))[0])

    def answer(self, kind: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        """What peers ask."""
        h = self.history
        if kind == peerwire.HISTORY:
            if not h.doubt:
                h.told(*values[:4])
            return peerwire.HISTORY_TOLD, (
                h.name,
                h.number,
                h.floor,
                bool(h.doubt),
                self.core.mirror.seen,
            )
        name, part = values
        if self.packed[0] != name:
            h.suspect("the records are rebuilt")
            self.packed = (name, evidence.pack(self._own()))
        parts = self.packed[1]
        return peerwire.EVIDENCE_TOLD, (len(parts), parts[part] if part < len(parts) else b"")

    def note_head(self, value: Any) -> None:
        """Which history the records belong to, as the watch has it."""
        if self.history.name and str(value["id"]) != self.history.name:
            self.history.suspect("the head has moved")

    # -- the routine -----------------------------------------------------

    async def run(self) -> None:
        """Watch over the history, and rebuild when it is in doubt."""
        core = self.core
        while True:
            await core.wait("history", core.ttl_s / 4)
            if self.history.doubt:
                await self._settle()
                continue
            if not self.history.name:
                if core.state_known and self._all_understand():
                    self.history.suspect("no history yet")
                continue
            for label in core.peers:
                if self._understands(label):
                    await self._exchange(label)
            if not self.history.doubt:
                await self._look()

    async def _look(self) -> None:
        """Whether the anchors and the generation stand: a loss of these alone, or of one
        prefix, shows nowhere else."""
        core = self.core
        txn = Txn().require(HEAD_KEY, self.head_rev)
        for prefix in PREFIXES:
            txn.require(prefix, 0)  # no such key: so that all anchors are compared
        if core.generation.rev:
            txn.require(GENERATION_KEY, core.generation.rev)
        try:
            try:
                await core.store.commit(txn)
            except Conflict as exc:
                if HEAD_KEY in exc.failed:
                    self.history.suspect("the head has moved")
                    return
                entry = await core.store.get(GENERATION_KEY)
                if entry is None or int(entry.value["number"]) < core.generation.number:
                    self.history.suspect("the generation is gone")
        except (Unavailable, Unknown):
            pass

    def _all_understand(self) -> bool:
        return all(self._understands(label) for label in self.core.settings.labels)

    async def _settle(self) -> None:
        """Until there is no doubt any more."""
        core = self.core
        attempt = core.store.begin()
        while self.history.doubt:
            try:
                await self._step()
                attempt.served()
            except ConcurrentChangeError:
                await curio.sleep(core.jitter(core.ttl_s / 16))
            except (Unavailable, Unknown, Conflict) as exc:
                log.debug("event=rebuild-waits cause=%s", exc)
                await core.store.rest(attempt)
            except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
                log.error("event=malformed-state cause=%r", exc)
                await curio.sleep(core.jitter(core.ttl_s / 4))
            await core.flush()

    async def _step(self) -> None:
        """Look at what holds, and join it, wait for who rebuilds it, or rebuild it."""
        core, h = self.core, self.history
        entries, _ = await core.store.scan("c/", doubtful=True)
        records = {e.key: e for e in entries}
        for entry in entries:
            # Who is there, and understands what: also for who has only just begun.
            if entry.key.startswith("c/version/"):
                core.mirror.note_version(entry.key[len("c/version/") :], entry.value, entry.rev)
        head = records.get(HEAD_KEY)
        # Whoever is there with no record at all has none of before.
        told = [
            t
            for label in core.peers
            if (head is not None or GENERATION_KEY not in records or self._understands(label))
            and (t := await self._exchange(label)) is not None
        ]
        if (
            head is None
            and not h.name
            and not any(t.name for t in told)
            and GENERATION_KEY in records
            and not self._all_understand()
        ):
            # Somebody may be there who doesn't know of any of this.
            log.info("event=no-history cause='not all controllers are new'")
            h.join("", 0, {}, 0)
            self._rejoin()
            return
        if head is not None and self._holds(head, told):
            anchors = await self._anchors(str(head.value["id"]))
            if len(anchors) == len(PREFIXES):
                await self._join(head, anchors)
                return
            # Whole when it was written, and not any more.
        if core.away or self._somebody_else(head):
            await curio.sleep(core.ttl_s / 16)
            return
        await self._rebuild(
            head,
            records,
            max(
                h.number, int(head.value["n"]) if head is not None else 0, *(t.number for t in told)
            )
            + 1,
        )

    def _holds(self, head: Entry, told: list[Said]) -> bool:
        """Whether the history that the head names is whole and later than ours, or, if we
        have only begun, is one that somebody has acted on all the time."""
        name, number = str(head.value["id"]), int(head.value["n"])
        if head.value["state"] != WHOLE:
            return False
        if self.history.name:
            return number > self.history.number
        return any(t.name == name and not t.doubt for t in told)

    def _somebody_else(self, head: Entry | None) -> bool:
        """Whether a peer is at it, or goes first: who has begun, and of all that may begin
        the first by name. (Two at once can't both win; they would only hinder each other.)"""
        core, now = self.core, time.monotonic()
        heard = [p.label for p in core.peers.values() if now - p.heard < core.ttl_s]
        if (
            head is not None
            and head.value["state"] == REBUILDING
            and head.value["by"] != core.label
        ):
            return head.value["by"] in heard
        early = now - self.since < core.ttl_s / 2
        return early and any(label < core.label for label in heard)

    # -- joining ---------------------------------------------------------

    async def _anchors(self, name: str) -> dict[str, int]:
        """The anchors of a history that are there, with their revisions."""
        found = [
            await self.core.store.get(anchor_key(prefix, name), doubtful=True)
            for prefix in PREFIXES
        ]
        return {e.key: e.rev for e in found if e is not None}

    async def _join(self, head: Entry, revs: dict[str, int]) -> None:
        """Act on the history that the head names."""
        core, name = self.core, str(head.value["id"])
        late = evidence.gather(core, self.loaded)
        self.head_rev = head.rev
        self.history.join(name, int(head.value["n"]), revs, max(head.rev, *revs.values()))
        log.info("event=joined history=%s seconds=%.1f", name, time.monotonic() - self.since)
        self._rejoin()
        core.spawn(self._late(late))

    def _rejoin(self) -> None:
        """Read the records anew, and wait for a generation that began under this history."""
        core = self.core
        core.generation = Generation(core.generation.number, {}, 0)
        core.serving = False
        # Without a revision until its record has been seen under this history: none of them
        # is worked on, or answered for, before that.
        core.live = {name: (job, 0) for name, (job, _) in core.live.items()}
        core.rescan = True
        core.signal("members")
        core.signal("lease")

    async def _late(self, known: Evidence) -> None:
        """What this controller had told its users and the others could not know."""
        core = self.core
        attempt = core.store.begin()
        todo = [(name, *row) for name, row in known.live.items() if name not in core.ended]
        ends = list(known.ended.items())
        while (todo or ends) and not self.history.doubt:
            try:
                if todo:
                    name, desc, at = todo[-1]
                    txn = Txn().require(live_key(name), 0).require(end_key(name), 0)
                    txn.put(live_key(name), {"j": desc, "t": at})
                    if not await self._once(txn, "job", name):
                        await core.mirror.learn(name)
                    todo.pop()
                else:
                    name, (status, at, desc) = ends[-1]
                    await self._end(name, status, at, desc)
                    ends.pop()
            except (Unavailable, Unknown):
                await core.store.rest(attempt)

    async def _once(self, txn: Txn, what: str, name: str) -> bool:
        """Write what nobody else had; False if something else is there instead."""
        try:
            await self.core.store.commit(Txn().require(*next(iter(txn.when.items()))))
        except Conflict:
            return True  # it is there: one comparison, and no write
        try:
            await self.core.store.commit(txn)
            log.info("event=late-evidence %s=%s", what, name)
            return True
        except Conflict:
            return False

    async def _end(self, name: str, status: str, at: float, desc: Any) -> None:
        core = self.core
        live = await core.store.get(live_key(name))
        txn = Txn().require(end_key(name), 0)
        if live is not None:
            txn.require(live_key(name), live.rev).delete(live_key(name))
            desc = live.value["j"]
        await self._once(
            txn.put(
                end_key(name),
                end_value(status, at or time.time(), desc if status == "cancelled" else None),
            ),
            "end",
            name,
        )

    # -- rebuilding ------------------------------------------------------

    async def _rebuild(self, head: Entry | None, records: dict[str, Entry], number: int) -> None:
        """Alone with the state service, since all others stand still."""
        store = self.core.store
        store.shared_by(1)
        try:
            await self._put_together(head, records, number)
        finally:
            store.shared_by(store.controllers)

    async def _put_together(
        self, head: Entry | None, records: dict[str, Entry], number: int
    ) -> None:
        core, h = self.core, self.history
        began = time.monotonic()
        name = f"{core.rng.getrandbits(64):016x}"
        anchor = await self._begin(head, records, name, number)
        log.info("event=rebuild-began history=%s cause=%r", name, h.doubt)
        parts = await self._gather(name)
        members, homes = evidence.split(parts)
        missing = sorted(set(members) - set(homes))
        machines = {n: a for e in parts.values() for n, a in e.machines.items()}
        listed: list[Task] = []
        epoch = 0
        if missing or not members:
            log.info("event=rebuild-asks machines=%d missing=%s", len(machines), ",".join(missing))
            listed, epoch = await self._account(parts, machines)
        records_now, _ = await core.store.scan_all(PREFIXES, doubtful=True)
        found = {key: row for key, row in records_now.items() if not is_anchor(key)}
        merged = merge(
            found, parts, listed, core.limits, chunk_size(core.settings.cluster.state.value_kb)
        )
        log.info(
            "event=rebuild-found jobs=%d restored=%d ended=%d changes=%d unknown=%d "
            "controllers=%d machines=%d",
            merged.jobs,
            merged.found,
            merged.ended,
            len(merged.changes),
            len(merged.unknown),
            len(parts),
            len(machines),
        )
        written = 0
        for txn in plan.transactions(
            merged.changes, found, anchor, core.settings.cluster.state.least().txn_ops
        ):
            await self._write(txn)
            written += len(txn.writes)
            log.debug("event=rebuild-wrote changes=%d of=%d", written, len(merged.changes))
        await self._finish(name, number, anchor, parts, found, epoch)
        log.info(
            "event=rebuild-done history=%s changes=%d seconds=%.1f",
            name,
            written,
            time.monotonic() - began,
        )

    async def _begin(
        self, head: Entry | None, records: dict[str, Entry], name: str, number: int
    ) -> tuple[str, int]:
        """End the history that was: nothing that was sent under it is applied from here on,
        since it names the anchor under `c/`. The others follow, each with its predecessors."""
        core = self.core
        olds = {
            self.history.name,
            head.value["id"] if head is not None else "",
            *(k[len("c/~") :] for k in records if k.startswith("c/~")),
        } - {""}
        there = {old: await self._anchors(old) for old in sorted(olds)}

        def renew(txn: Txn, prefix: str) -> Txn:
            for old, revs in there.items():
                key = anchor_key(prefix, old)
                txn.require(key, revs.get(key, 0))
                if key in revs:
                    txn.delete(key)
            return txn.put(anchor_key(prefix, name), anchor_value(name))

        txn = renew(Txn().require(HEAD_KEY, head.rev if head is not None else 0), "c/")
        txn.put(HEAD_KEY, {"id": name, "n": number, "state": REBUILDING, "by": core.label})
        anchor = anchor_key("c/", name), await self._write(txn)
        for prefix in PREFIXES:
            if prefix != "c/":
                await self._write(renew(Txn().require(*anchor), prefix))
        return anchor

    async def _write(self, txn: Txn) -> int:
        """Commit until it is known whether; ConcurrentChangeError if somebody else came first."""
        core = self.core
        attempt = core.store.begin()
        unsure = False
        while True:
            try:
                return await core.store.commit(txn, ahead_s=LEASE_S, doubtful=True)
            except Conflict as exc:
                log.info("event=rebuild-overtaken keys=%s", exc.failed[:3])
                raise ConcurrentChangeError from None
            except Unknown:
                unsure = True
            except Unavailable:
                if not unsure:
                    raise
            await core.store.rest(attempt)

    async def _gather(self, name: str) -> dict[str, Evidence]:
        """The evidence of all controllers that answer, ours included."""
        core = self.core
        parts = {core.label: self._own()}
        for _ in range(3):
            for label in core.peers:
                if label not in parts:
                    found = await self._evidence_of(label, name)
                    if found is not None:
                        evidence.only_news(found, parts[core.label])
                        parts[label] = found
            if len(parts) == len(core.settings.labels):
                break
            await curio.sleep(core.ttl_s / 8)
        for found in list(parts.values()):
            if found.remembered is not None:
                parts[found.remembered.label] = found.remembered
        return parts

    def _own(self) -> Evidence:
        found = evidence.gather(self.core, self.loaded)
        found.remembered = self.remembered
        return found

    async def _evidence_of(self, label: str, name: str) -> Evidence | None:
        peer, parts = self.core.peers[label], []
        try:
            count, part = await peer.call(peerwire.EVIDENCE, (name, 0))
            parts.append(part)
            parts += [
                (await peer.call(peerwire.EVIDENCE, (name, number)))[1]
                for number in range(1, count)
            ]
            return evidence.unpack(parts)
        except (PeerError, ValueError) as exc:
            log.info("event=no-evidence label=%s cause=%s", label, exc)
            return None

    async def _finish(
        self,
        name: str,
        number: int,
        anchor: tuple[str, int],
        parts: dict[str, Evidence],
        found: dict[str, tuple[Any, int]],
        epoch: int,
    ) -> None:
        """The history is whole, and a generation begins under it, above all that anybody has
        seen."""
        core = self.core
        stored = found.get(GENERATION_KEY)
        later = 1 + max(
            epoch >> COUNTER_BITS,
            int(stored[0]["number"]) if stored else 0,
            *(e.generation for e in parts.values()),
        )
        members = {label: e.incarnation for label, e in parts.items() if e.incarnation}
        present = await self._present(members)
        txn = Txn().require(*anchor).require(GENERATION_KEY, stored[1] if stored else 0)
        txn.put(GENERATION_KEY, Generation(later, present, 0).value())
        head = {"id": name, "n": number, "state": WHOLE, "by": core.label}
        rev = await self._write(txn.put(HEAD_KEY, head).put(anchor[0], anchor_value(name)))
        anchors = await self._anchors(name)
        if len(anchors) < len(PREFIXES):
            raise ConcurrentChangeError  # lost in the very moment
        await self._join(Entry(HEAD_KEY, head, rev), anchors)

    async def _present(self, members: dict[str, str]) -> dict[str, str]:
        """Of those whose evidence is there, who has a key: all others would have to be taken
        out again at once. Everybody, if nobody has one yet."""
        core = self.core
        end = time.monotonic() + core.ttl_s
        while True:
            entries, _ = await core.store.scan("c/node/", doubtful=True)
            keys = {e.key[len("c/node/") :]: str(e.value["inc"]) for e in entries}
            found = {label: inc for label, inc in members.items() if keys.get(label) == inc}
            if len(found) == len(members) or time.monotonic() >= end:
                return found or members
            await curio.sleep(core.ttl_s / 8)

    # -- machines --------------------------------------------------------

    async def _account(
        self, parts: dict[str, Evidence], machines: dict[str, str]
    ) -> tuple[list[Task], int]:
        """What runs on every machine that there may be, and the highest token seen.

        Only with a controller's memory gone is this needed. Each machine is told a higher
        token, after which no older command can run, and asked what it holds; one that does
        not answer is returned, which ends what is on it. What nobody knows is stopped.
        """
        core = self.core
        lag_s = core.settings.cluster.cloud.list_lag_s
        known = {n for e in parts.values() for n in (*e.live, *e.ended)}
        entries = [
            *(await core.store.scan("c/live/", doubtful=True))[0],
            *(await core.store.scan("end/", doubtful=True))[0],
        ]
        known |= {e.key.rpartition("/")[2] for e in entries}
        token = max((e.generation for e in parts.values()), default=0) + 1 << COUNTER_BITS
        held: dict[str, list[Task]] = {}
        gone: set[str] = set()
        silent: dict[str, float] = {}
        began, listed_at = time.monotonic(), -math.inf
        while True:
            now = time.monotonic()
            if now - listed_at > lag_s:
                listed_at = now
                try:
                    machines.update(
                        {
                            m.id: m.address
                            for m in await core.cloud.machines()
                            if m.state != "failed"
                        }
                    )
                except CloudError as exc:
                    log.info("event=cloud-trouble cause=%s", exc)
                    listed_at = -math.inf
            left = [n for n in sorted(machines) if n not in held and n not in gone]
            if not left and listed_at > -math.inf and now - began > 2 * lag_s:
                return [t for rows in held.values() for t in rows], token
            for first in range(0, len(left), ASKED):
                async with curio.TaskGroup(wait=all) as group:
                    asked = {
                        n: await group.spawn(self._ask, n, machines[n], token, known)
                        for n in left[first : first + ASKED]
                    }
                for machine, task in asked.items():
                    seen, rows = task.result
                    if seen > token:
                        token = (seen >> COUNTER_BITS) + 1 << COUNTER_BITS
                    if rows is not None:
                        held[machine] = rows
                    if seen:
                        silent.pop(machine, None)
                    else:
                        silent.setdefault(machine, now)
            await self._give_up(silent, gone, len(held))
            if left:
                log.info(
                    "event=rebuild-accounts machines=%d of=%d silent=%d returned=%d",
                    len(held),
                    len(machines),
                    len(silent),
                    len(gone),
                )
            await curio.sleep(core.settings.cluster.workers.report_s / 2)

    async def _ask(
        self, machine: str, address: str, token: int, known: set[str]
    ) -> tuple[int, list[Task] | None]:
        """The highest token that a machine has seen (0: no answer), and what it holds once
        ours is the highest and nothing unknown is on it."""
        client = self.core.fleet.client(address)
        if client is None:
            return 0, None
        try:
            report = await self._report(client, "GET", "/inspect", None)
            if report.token > token:
                return report.token, None
            strange = [p for p in report.tasks if p.task.partition("/")[0] not in known]
            orders = [
                {
                    "verb": "clear" if p.state == "exited" else "kill",
                    "piece": p.task,
                    "try": p.attempt,
                    **({} if p.state == "exited" else {"wind_down_s": 0.0}),
                }
                for p in strange
            ]
            report = await self._report(
                client, "POST", "/do", {"epoch": token, "tenure": report.session, "orders": orders}
            )
        except (http.NoAnswer, msgspec.MsgspecError):
            return 0, None
        if strange:
            log.info("machine=%s event=stopped-unknown tasks=%d", machine, len(strange))
        if report.token != token or any(
            p.task.partition("/")[0] not in known and p.state != "exited" for p in report.tasks
        ):
            return report.token, None
        return report.token, [
            Task(*split_task(p.task), p.attempt, machine)
            for p in report.tasks
            if p.task.partition("/")[0] in known
        ]

    async def _report(self, client: Any, method: str, path: str, body: Any) -> Report:
        raw = None if body is None else msgspec.json.encode(body)
        _, answer = await client.request(method, path, raw, self.core.fleet.command_s)
        return msgspec.json.decode(answer, type=Report)

    async def _give_up(self, silent: dict[str, float], gone: set[str], heard: int) -> None:
        """Return machines that stay silent; not most of them at once, which would be us."""
        core, now = self.core, time.monotonic()
        most = len(silent) > 2 and len(silent) > heard
        patience = core.settings.cluster.workers.cancel_s / 2 if most else core.fleet.silent_s
        names = [n for n, since in silent.items() if now - since > patience][:RETURN_MOST]
        if names:
            try:
                await core.cloud.give_back(names)
            except CloudError as exc:
                log.info("event=not-fenced machines=%d cause=%s", len(names), exc)
                return
            log.info("event=returned machines=%s cause=silent", names)
            gone.update(names)
            for name in names:
                silent.pop(name, None)
