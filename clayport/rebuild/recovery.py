"""Watches the history of the records, and joins a history or starts a rebuild.

`history` detects a loss, and `rebuilder` carries out a rebuild.
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
    HISTORY_KEY,
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


class PeerHistory(NamedTuple):
    """The state of a peer's history, as the peer reports it."""

    name: str
    number: int
    highest_revision: int
    suspicion: bool
    read_revision: int  # the peer has the records under `c/` in memory up to this revision


class Recovery:
    """Detects lost records, suspends the controller's work and has the records rebuilt."""

    def __init__(
        self, controller: RebuildParts, directory: str = "", second_copy: bool = False
    ) -> None:
        self.controller, self.second_copy = controller, second_copy
        self.recorder: Recorder | None = None
        self.remembered: Evidence | None = None
        if directory:
            from clayport.rebuild.recorder import Recorder  # imported only if snapshots are kept

            self.recorder = Recorder(controller, Path(directory))
            self.remembered = self.recorder.load()
        self.history = History(self._stop_serving)
        self.rebuilder = Rebuilder(controller, self.history, self._own_evidence, self._join_history)
        controller.store.history = self.history
        controller.store.check_for_loss = self.check_for_loss
        # Records may have been lost before the start, so the first history has to be confirmed.
        self.history.suspect("just begun")
        self.loaded = False  # whether this controller was serving when its history became suspect
        self.packed_evidence: tuple[str, list[bytes]] = ("", [])
        self.running_check: curio.Event | None = None
        self.head_rev = 0
        self.suspect_since = time.monotonic()

    # -- detecting a loss ------------------------------------------------

    def _stop_serving(self) -> None:
        controller = self.controller
        self.loaded, self.suspect_since = controller.membership.serving, time.monotonic()
        controller.membership.serving = False
        self.packed_evidence = ("", [])
        log.info("event=records-suspect cause=%r", self.history.suspicion)
        controller.routines.signal("history")

    async def check_for_loss(self) -> None:
        """Compare the peers' highest revisions with the state service's present revision.

        This happens before the first request after the state service has failed to answer, and
        before the first request of an epoch. Every controller has to do so, because the writes
        after a loss soon raise the revisions to their former values, which would hide the loss.

        Raises:
            UnavailableError: The state service doesn't answer.
        """
        if self.running_check is not None:
            await self.running_check.wait()
            return
        history, controller, now = self.history, self.controller, time.monotonic()
        self.running_check = curio.Event()
        try:
            async with curio.TaskGroup(wait=all) as group:
                for label, peer in controller.peers.items():
                    if (
                        now - peer.last_heard_at < controller.membership.lease_ttl_s
                        and self._supports_histories(label)
                    ):
                        await group.spawn(self._exchange_histories, label)
            highest_revision = history.highest_revision
            _, rev = await controller.store.scan(HISTORY_KEY, allow_in_doubt=True)
            history.needs_loss_check = False
            history.check_revision(rev, highest_revision)
        except OutcomeUnknownError as exc:
            raise UnavailableError(str(exc)) from None
        finally:
            finished_check, self.running_check = self.running_check, None
            await finished_check.set()

    async def _exchange_histories(self, label: str) -> PeerHistory | None:
        """Exchange the state of the history with a peer; return None if it doesn't answer."""
        history, controller = self.history, self.controller
        try:
            reply = PeerHistory(
                *await controller.peers[label].call(
                    frames.HISTORY,
                    (
                        history.name,
                        history.number,
                        history.highest_revision,
                        bool(history.suspicion),
                        controller.progress.read_rev,
                    ),
                    controller.membership.lease_ttl_s / 4,
                )
            )
        except (PeerError, KeyError):
            return None
        history.note_peer(*reply[:4])
        return reply

    async def wait_for_second_copy(self, rev: int, deadline: Deadline) -> None:
        """Wait until a second copy of the commit exists: in the local snapshot or at a peer.

        Raises:
            UnavailableError: No second copy is known in time. A retry of the user's request
                returns the state of the job.
        """
        if not self.second_copy or not self.history.name:
            return
        controller, name = self.controller, self.history.name
        # A watch delivers a change within milliseconds.
        pause_s = controller.membership.lease_ttl_s / 256
        while deadline.allows(time.monotonic(), pause_s):
            if self.recorder is not None and self.recorder.synced_revision >= rev:
                return
            for label in sorted(controller.peers, key=lambda x: -controller.peers[x].last_heard_at):
                if self._supports_histories(label):
                    reply = await self._exchange_histories(label)
                    if reply is not None and reply.name == name and reply.read_revision >= rev:
                        return
                    if reply is not None:
                        break  # The peer's watch is about to deliver the change.
            await curio.sleep(pause_s)
        raise UnavailableError("no second copy in time")

    def _supports_histories(self, label: str) -> bool:
        return understands_histories(self.controller.upgrade.formats.get(label, (0, 0))[0])

    def handle_request(self, kind: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        """Answer a HISTORY or EVIDENCE request of a peer.

        An EVIDENCE request makes this controller's history suspect, because the peer has begun a
        rebuild.
        """
        history = self.history
        if kind == frames.HISTORY:
            if not history.suspicion:
                history.note_peer(*values[:4])
            return frames.HISTORY_REPLY, (
                history.name,
                history.number,
                history.highest_revision,
                bool(history.suspicion),
                self.controller.progress.read_rev,
            )
        name, part = values
        if self.packed_evidence[0] != name:
            history.suspect("the records are rebuilt")
            self.packed_evidence = (name, evidence.pack(self._own_evidence()))
        parts = self.packed_evidence[1]
        return frames.EVIDENCE_REPLY, (len(parts), parts[part] if part < len(parts) else b"")

    def note_head(self, value: Any) -> None:
        """Suspect the history if the head record that the watch delivers names another history."""
        if self.history.name and str(value["id"]) != self.history.name:
            self.history.suspect("the head has moved")

    # -- the routine -----------------------------------------------------

    async def run(self) -> None:
        """Check the history regularly, and recover it while it is suspect."""
        controller = self.controller
        while True:
            await controller.routines.wait("history", controller.membership.lease_ttl_s / 4)
            if self.history.suspicion:
                await self._resolve_suspicion()
                continue
            if not self.history.name:
                if controller.membership.records_loaded and self._all_support_histories():
                    self.history.suspect("no history yet")
                continue
            for label in controller.peers:
                if self._supports_histories(label):
                    await self._exchange_histories(label)
            if not self.history.suspicion:
                await self._check_stored_history()

    async def _check_stored_history(self) -> None:
        """Check that the head, the anchors and the epoch record still exist.

        No other check detects the loss of these records alone, or of a single prefix.
        """
        controller = self.controller
        txn = Txn().require(HISTORY_KEY, self.head_rev)
        for prefix in PREFIXES:
            # The condition always holds, because no key equals a prefix. It makes the commit
            # require the anchor of the prefix as well.
            txn.require(prefix, 0)
        if controller.membership.epoch.rev:
            txn.require(EPOCH_KEY, controller.membership.epoch.rev)
        try:
            try:
                await controller.store.commit(txn)
            except ConflictError as exc:
                if HISTORY_KEY in exc.failed:
                    self.history.suspect("the head has moved")
                    return
                entry = await controller.store.get(EPOCH_KEY)
                if entry is None or int(entry.value["number"]) < controller.membership.epoch.number:
                    self.history.suspect("the epoch is gone")
        except (UnavailableError, OutcomeUnknownError):
            pass

    def _all_support_histories(self) -> bool:
        return all(self._supports_histories(label) for label in self.controller.settings.labels)

    async def _resolve_suspicion(self) -> None:
        """Join a history or rebuild the records until the history is no longer suspect."""
        controller = self.controller
        attempt = controller.store.begin_request()
        while self.history.suspicion:
            try:
                await self._join_or_rebuild()
                attempt.served()
            except ConcurrentChangeError:
                await curio.sleep(
                    controller.routines.jitter(controller.membership.lease_ttl_s / 16)
                )
            except (UnavailableError, OutcomeUnknownError, ConflictError) as exc:
                log.debug("event=rebuild-waits cause=%s", exc)
                await controller.store.back_off(attempt)
            except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
                log.error("event=malformed-state cause=%r", exc)
                await curio.sleep(controller.routines.jitter(controller.membership.lease_ttl_s / 4))
            await controller.routines.flush()

    async def _join_or_rebuild(self) -> None:
        """Read the head, then join its history, wait for a peer's rebuild, or rebuild."""
        controller, history = self.controller, self.history
        entries, _ = await controller.store.scan("c/", allow_in_doubt=True)
        records = {e.key: e for e in entries}
        for entry in entries:
            # A controller that has just started needs the formats too, to know which controllers
            # support histories.
            if entry.key.startswith("c/version/"):
                controller.versions.note_version(
                    entry.key[len("c/version/") :], entry.value, entry.rev
                )
        head = records.get(HISTORY_KEY)
        # If both the head and the epoch record are missing, all peers are asked, because the
        # records of their formats were lost too.
        peer_histories = [
            peer_history
            for label in controller.peers
            if (head is not None or EPOCH_KEY not in records or self._supports_histories(label))
            and (peer_history := await self._exchange_histories(label)) is not None
        ]
        if (
            head is None
            and not history.name
            and not any(peer_history.name for peer_history in peer_histories)
            and EPOCH_KEY in records
            and not self._all_support_histories()
        ):
            # A controller of an older version, which can't take part in a rebuild, may be running.
            log.info("event=no-history cause='not all controllers are new'")
            history.join("", 0, {}, 0)
            self._await_new_epoch()
            return
        if head is not None and self._can_join(head, peer_histories):
            anchors = await read_anchors(controller.store, str(head.value["id"]))
            if len(anchors) == len(PREFIXES):
                await self._join_history(head, anchors)
                return
            # The history was complete when the head was written, but has lost anchors since.
        if controller.membership.stepped_aside or self._peer_rebuilds(head):
            await curio.sleep(controller.membership.lease_ttl_s / 16)
            return
        await self.rebuilder.rebuild(
            head,
            records,
            max(
                history.number,
                int(head.value["n"]) if head is not None else 0,
                *(peer_history.number for peer_history in peer_histories),
            )
            + 1,
        )

    def _can_join(self, head: Entry, peer_histories: list[PeerHistory]) -> bool:
        """Return whether this controller can join the history that the head names.

        The history has to be complete. It also has to be later than the present history of this
        controller or, if the controller has none, a peer has to act on it without suspicion.
        """
        name, number = str(head.value["id"]), int(head.value["n"])
        if head.value["state"] != WHOLE:
            return False
        if self.history.name:
            return number > self.history.number
        return any(
            peer_history.name == name and not peer_history.suspicion
            for peer_history in peer_histories
        )

    def _peer_rebuilds(self, head: Entry | None) -> bool:
        """Return whether this controller has to leave the rebuild to a reachable peer.

        A reachable peer that has begun a rebuild takes precedence. If no peer has begun a rebuild,
        a reachable peer with a lower label takes precedence until half a lease TTL after the
        suspicion. Two concurrent rebuilds can't both succeed, but would delay each other.
        """
        controller, now = self.controller, time.monotonic()
        reachable = [
            p.label
            for p in controller.peers.values()
            if now - p.last_heard_at < controller.membership.lease_ttl_s
        ]
        if (
            head is not None
            and head.value["state"] == REBUILDING
            and head.value["by"] != controller.membership.label
        ):
            return head.value["by"] in reachable
        is_early = now - self.suspect_since < controller.membership.lease_ttl_s / 2
        return is_early and any(label < controller.membership.label for label in reachable)

    # -- joining ---------------------------------------------------------

    async def _join_history(self, head: Entry, revs: dict[str, int]) -> None:
        """Join the history that the head names, and add records that only this controller has."""
        controller, name = self.controller, str(head.value["id"])
        own_evidence = gather(controller, self.loaded)
        self.head_rev = head.rev
        self.history.join(name, int(head.value["n"]), revs, max(head.rev, *revs.values()))
        log.info(
            "event=joined history=%s seconds=%.1f", name, time.monotonic() - self.suspect_since
        )
        self._await_new_epoch()
        controller.routines.spawn(LateEvidence(controller, self.history).add(own_evidence))

    def _await_new_epoch(self) -> None:
        """Reread the records, and wait for an epoch of the history that was just joined."""
        controller = self.controller
        controller.membership.epoch = Epoch(controller.membership.epoch.number, {}, 0)
        controller.membership.serving = False
        # Revision 0 marks a job whose record has not yet been read under this history. Such a job
        # is neither scheduled nor reported to users.
        controller.jobs.live = {name: (job, 0) for name, (job, _) in controller.jobs.live.items()}
        controller.membership.rescan = True
        controller.routines.signal("members")
        controller.routines.signal("lease")

    def _own_evidence(self) -> Evidence:
        own_evidence = gather(self.controller, self.loaded)
        own_evidence.remembered = self.remembered
        return own_evidence
