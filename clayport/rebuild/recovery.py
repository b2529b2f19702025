"""Watching over the history of the records: joining it, or having it rebuilt.

What is decided stands in `history`; a rebuild is carried out by `rebuilder`.
"""

from __future__ import annotations

import logging
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import curio
import msgspec

from clayport.limits import Deadline
from clayport.membership.epoch import Epoch
from clayport.rebuild import evidence
from clayport.rebuild.evidence import Evidence
from clayport.rebuild.gather import gather
from clayport.rebuild.history import (
    HEAD_KEY,
    PREFIXES,
    REBUILDING,
    WHOLE,
    History,
)
from clayport.rebuild.late_evidence import LateEvidence
from clayport.rebuild.rebuilder import ConcurrentChangeError, Rebuilder, read_anchors
from clayport.records.errors import ConflictError, OutcomeUnknownError, UnavailableError
from clayport.records.formats import understands_histories
from clayport.records.keys import EPOCH_KEY
from clayport.records.messages import Entry
from clayport.records.transaction import Txn
from clayport.transport import frames
from clayport.transport.peers import PeerError

if TYPE_CHECKING:
    from clayport.rebuild.ports import RebuildParts
    from clayport.rebuild.recorder import Recorder

log = logging.getLogger(__name__)


class Said(NamedTuple):
    """What a peer says of the history that it acts on."""

    name: str
    number: int
    highest_revision: int
    suspicion: bool
    seen: int  # up to which revision it holds the records under `c/` in memory


class Recovery:
    """Notices that records are gone, stands still, and puts them together again."""

    def __init__(self, ports: RebuildParts, directory: str = "", second_copy: bool = False) -> None:
        self.ports, self.second_copy = ports, second_copy
        self.recorder: Recorder | None = None
        self.remembered: Evidence | None = None
        if directory:
            from clayport.rebuild.recorder import Recorder  # imported only where there is a disk

            self.recorder = Recorder(ports, Path(directory))
            self.remembered = self.recorder.load()
        self.history = History(self._stand_still)
        self.rebuilder = Rebuilder(ports, self.history, self._own, self._join)
        ports.store.history = self.history
        ports.store.check_in = self.check_in
        # Nobody acts before it is known whether the records are those that were left.
        self.history.suspect("just begun")
        self.loaded = False  # this epoch's share was taken over when doubt came
        self.packed: tuple[str, list[bytes]] = ("", [])
        self.asking: curio.Event | None = None
        self.head_rev = 0
        self.since = time.monotonic()

    # -- noticing --------------------------------------------------------

    def _stand_still(self) -> None:
        ports = self.ports
        self.loaded, self.since = ports.membership.serving, time.monotonic()
        ports.membership.serving = False
        self.packed = ("", [])
        log.info("event=records-suspect cause=%r", self.history.suspicion)
        ports.routines.signal("history")

    async def check_in(self) -> None:
        """Ask the peers what they have seen, and then the state service, before anything is
        written: it has not answered for a moment, or an epoch begins. (UnavailableError if it
        doesn't answer now.)

        Read before the first write of each of us: the revisions of what is written after a
        loss soon are what they were, and nobody would have noticed.
        """
        if self.asking is not None:
            await self.asking.wait()
            return
        h, ports, now = self.history, self.ports, time.monotonic()
        self.asking = curio.Event()
        try:
            async with curio.TaskGroup(wait=all) as group:
                for label, peer in ports.peers.items():
                    if now - peer.heard < ports.membership.lease_ttl_s and self._understands(label):
                        await group.spawn(self._exchange, label)
            highest_revision = h.highest_revision
            _, rev = await ports.store.scan(HEAD_KEY, allow_in_doubt=True)
            h.needs_check_in = False
            h.check_revision(rev, highest_revision)
        except OutcomeUnknownError as exc:
            raise UnavailableError(str(exc)) from None
        finally:
            asking, self.asking = self.asking, None
            await asking.set()

    async def _exchange(self, label: str) -> Said | None:
        """What a peer has seen; None without an answer."""
        h, ports = self.history, self.ports
        try:
            said = Said(
                *await ports.peers[label].call(
                    frames.HISTORY,
                    (
                        h.name,
                        h.number,
                        h.highest_revision,
                        bool(h.suspicion),
                        ports.progress.seen,
                    ),
                    ports.membership.lease_ttl_s / 4,
                )
            )
        except (PeerError, KeyError):
            return None
        h.note_peer(*said[:4])
        return said

    async def second(self, rev: int, deadline: Deadline) -> None:
        """Until a second place has what was committed at the revision: our disk, or the
        memory of another controller. UnavailableError if that can't be known in time (the user
        asks again, and is told of the job as it is)."""
        if not self.second_copy or not self.history.name:
            return
        ports, name = self.ports, self.history.name
        pause_s = (
            ports.membership.lease_ttl_s / 256
        )  # a watch tells of a change within milliseconds
        while deadline.allows(time.monotonic(), pause_s):
            if self.recorder is not None and self.recorder.synced >= rev:
                return
            for label in sorted(ports.peers, key=lambda x: -ports.peers[x].heard):
                if self._understands(label):
                    said = await self._exchange(label)
                    if said is not None and said.name == name and said.seen >= rev:
                        return
                    if said is not None:
                        break  # it is about to: its watch takes a moment
            await curio.sleep(pause_s)
        raise UnavailableError("no second copy in time")

    def _understands(self, label: str) -> bool:
        return understands_histories(self.ports.upgrade.formats.get(label, (0, 0))[0])

    def answer(self, kind: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        """What peers ask."""
        h = self.history
        if kind == frames.HISTORY:
            if not h.suspicion:
                h.note_peer(*values[:4])
            return frames.HISTORY_REPLY, (
                h.name,
                h.number,
                h.highest_revision,
                bool(h.suspicion),
                self.ports.progress.seen,
            )
        name, part = values
        if self.packed[0] != name:
            h.suspect("the records are rebuilt")
            self.packed = (name, evidence.pack(self._own()))
        parts = self.packed[1]
        return frames.EVIDENCE_REPLY, (len(parts), parts[part] if part < len(parts) else b"")

    def note_head(self, value: Any) -> None:
        """Which history the records belong to, as the watch has it."""
        if self.history.name and str(value["id"]) != self.history.name:
            self.history.suspect("the head has moved")

    # -- the routine -----------------------------------------------------

    async def run(self) -> None:
        """Watch over the history, and rebuild when it is in doubt."""
        ports = self.ports
        while True:
            await ports.routines.wait("history", ports.membership.lease_ttl_s / 4)
            if self.history.suspicion:
                await self._settle()
                continue
            if not self.history.name:
                if ports.membership.records_loaded and self._all_understand():
                    self.history.suspect("no history yet")
                continue
            for label in ports.peers:
                if self._understands(label):
                    await self._exchange(label)
            if not self.history.suspicion:
                await self._look()

    async def _look(self) -> None:
        """Whether the anchors and the epoch stand: a loss of these alone, or of one
        prefix, shows nowhere else."""
        ports = self.ports
        txn = Txn().require(HEAD_KEY, self.head_rev)
        for prefix in PREFIXES:
            txn.require(prefix, 0)  # no such key: so that all anchors are compared
        if ports.membership.epoch.rev:
            txn.require(EPOCH_KEY, ports.membership.epoch.rev)
        try:
            try:
                await ports.store.commit(txn)
            except ConflictError as exc:
                if HEAD_KEY in exc.failed:
                    self.history.suspect("the head has moved")
                    return
                entry = await ports.store.get(EPOCH_KEY)
                if entry is None or int(entry.value["number"]) < ports.membership.epoch.number:
                    self.history.suspect("the epoch is gone")
        except (UnavailableError, OutcomeUnknownError):
            pass

    def _all_understand(self) -> bool:
        return all(self._understands(label) for label in self.ports.settings.labels)

    async def _settle(self) -> None:
        """Until there is no doubt any more."""
        ports = self.ports
        attempt = ports.store.begin()
        while self.history.suspicion:
            try:
                await self._step()
                attempt.served()
            except ConcurrentChangeError:
                await curio.sleep(ports.routines.jitter(ports.membership.lease_ttl_s / 16))
            except (UnavailableError, OutcomeUnknownError, ConflictError) as exc:
                log.debug("event=rebuild-waits cause=%s", exc)
                await ports.store.back_off(attempt)
            except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
                log.error("event=malformed-state cause=%r", exc)
                await curio.sleep(ports.routines.jitter(ports.membership.lease_ttl_s / 4))
            await ports.routines.flush()

    async def _step(self) -> None:
        """Look at what holds, and join it, wait for who rebuilds it, or rebuild it."""
        ports, h = self.ports, self.history
        entries, _ = await ports.store.scan("c/", allow_in_doubt=True)
        records = {e.key: e for e in entries}
        for entry in entries:
            # Who is there, and understands what: also for who has only just begun.
            if entry.key.startswith("c/version/"):
                ports.versions.note_version(entry.key[len("c/version/") :], entry.value, entry.rev)
        head = records.get(HEAD_KEY)
        # Whoever is there with no record at all has none of before.
        told = [
            t
            for label in ports.peers
            if (head is not None or EPOCH_KEY not in records or self._understands(label))
            and (t := await self._exchange(label)) is not None
        ]
        if (
            head is None
            and not h.name
            and not any(t.name for t in told)
            and EPOCH_KEY in records
            and not self._all_understand()
        ):
            # Somebody may be there who doesn't know of any of this.
            log.info("event=no-history cause='not all controllers are new'")
            h.join("", 0, {}, 0)
            self._rejoin()
            return
        if head is not None and self._holds(head, told):
            anchors = await read_anchors(ports.store, str(head.value["id"]))
            if len(anchors) == len(PREFIXES):
                await self._join(head, anchors)
                return
            # Whole when it was written, and not any more.
        if ports.membership.away or self._somebody_else(head):
            await curio.sleep(ports.membership.lease_ttl_s / 16)
            return
        await self.rebuilder.rebuild(
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
        return any(t.name == name and not t.suspicion for t in told)

    def _somebody_else(self, head: Entry | None) -> bool:
        """Whether a peer is at it, or goes first: who has begun, and of all that may begin
        the first by name. (Two at once can't both win; they would only hinder each other.)"""
        ports, now = self.ports, time.monotonic()
        heard = [
            p.label for p in ports.peers.values() if now - p.heard < ports.membership.lease_ttl_s
        ]
        if (
            head is not None
            and head.value["state"] == REBUILDING
            and head.value["by"] != ports.membership.label
        ):
            return head.value["by"] in heard
        early = now - self.since < ports.membership.lease_ttl_s / 2
        return early and any(label < ports.membership.label for label in heard)

    # -- joining ---------------------------------------------------------

    async def _join(self, head: Entry, revs: dict[str, int]) -> None:
        """Act on the history that the head names."""
        ports, name = self.ports, str(head.value["id"])
        late = gather(ports, self.loaded)
        self.head_rev = head.rev
        self.history.join(name, int(head.value["n"]), revs, max(head.rev, *revs.values()))
        log.info("event=joined history=%s seconds=%.1f", name, time.monotonic() - self.since)
        self._rejoin()
        ports.routines.spawn(LateEvidence(ports, self.history).add(late))

    def _rejoin(self) -> None:
        """Read the records anew, and wait for an epoch that began under this history."""
        ports = self.ports
        ports.membership.epoch = Epoch(ports.membership.epoch.number, {}, 0)
        ports.membership.serving = False
        # Without a revision until its record has been seen under this history: none of them
        # is worked on, or answered for, before that.
        ports.jobs.live = {name: (job, 0) for name, (job, _) in ports.jobs.live.items()}
        ports.membership.rescan = True
        ports.routines.signal("members")
        ports.routines.signal("lease")

    def _own(self) -> Evidence:
        found = gather(self.ports, self.loaded)
        found.remembered = self.remembered
        return found
