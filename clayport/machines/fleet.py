"""The interface through which the rest of the controller deals with the machines' workers."""

from __future__ import annotations

from collections.abc import Mapping

from clayport.jobs.registry import JobRegistry
from clayport.leases.renewal import LeaseRenewal
from clayport.machines.command_sender import CommandSender, WorkerClients
from clayport.machines.evacuation import ReplicaEvacuation, ReplicaPlacement
from clayport.machines.event_delivery import EventDelivery, EventHandler
from clayport.machines.fencing import MachineFencing
from clayport.machines.report_answers import ReportAnswers
from clayport.machines.routing import Routing
from clayport.machines.silence import CloudListing, SilenceWatch
from clayport.machines.table import MachineTable
from clayport.membership.stalls import StallDetector
from clayport.membership.state import MembershipState
from clayport.rebuild.support import RebuildSupport
from clayport.records.upgrade import UpgradeState
from clayport.routines import Routines
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.view import ClusterView
from clayport.settings import Settings
from clayport.transport.peers import Peer

# Durations as fractions of the worker's lease. If a worker's report is not answered, the worker
# times out after 4 s and needs another second to reach the next controller, so silence of up to
# 0.6 leases is normal.
SILENCE_LEASE_FRACTION = 0.6
COMMAND_LEASE_FRACTION = 0.2


class Fleet:
    """Builds the components that answer, command and monitor machines; exposes their methods.

    The methods are bound to attributes of this object, so that a call needs no extra step.

    Attributes:
        silent_s: The seconds without a report after which a machine is silent.
        command_s: The timeout of a request to a worker, in seconds.
        fencing: Returns machines, if this controller is the provisioner.
        client: Finds the client for a worker's address; the tests' simulation replaces it.
        send_queued_commands: Starts sending the queued commands of a machine.
        inspect: Asks a worker, by name and address, whether it works.
        answer_report: Answers a worker's report.
        answer_owned_machine: Answers a report of a machine that this controller owns.
        emit: Adds a task event to the outbox of the job's leader.
        deliver_events: Delivers events to one leader; a routine for each controller.
        outboxes: The undelivered events, by the label of the leader.
        evacuate: Starts moving replicas off a machine.
        watch_silence: Fences silent machines; a routine.
    """

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
        upgrade: UpgradeState,
        view: ClusterView,
    ) -> None:
        workers = settings.cluster.workers
        self.silent_s = SILENCE_LEASE_FRACTION * workers.lease_s
        self.command_s = COMMAND_LEASE_FRACTION * workers.lease_s
        self.fencing = fencing

        # A quarter of the sockets is for connections to workers. The others are for incoming
        # connections, except a reserve for peers, the state service and the cloud.
        clients = WorkerClients(settings.cluster.machine_limits.max_sockets // 4, routines)
        self.client = clients.client
        self.sender = CommandSender(
            cached_state=cached_state,
            # The attribute is looked up at each call, because the simulation replaces it.
            client_of=lambda address: self.client(address),
            command_s=self.command_s,
            machines=machines,
            membership=membership,
            renewal=renewal,
            routines=routines,
        )
        self.send_queued_commands = self.sender.send_queued_commands
        self.inspect = self.sender.inspect

        self.report_answers = ReportAnswers(
            cached_state=cached_state,
            jobs=jobs,
            machines=machines,
            membership=membership,
            peers=peers,
            send_until_empty=self.sender.send_until_empty,
            rebuild=rebuild,
            renewal=renewal,
            routines=routines,
            silent_s=self.silent_s,
            upgrade=upgrade,
            view=view,
        )
        self.answer_report = self.report_answers.answer_report
        self.answer_owned_machine = self.report_answers.answer_owned_machine

        self.event_delivery = EventDelivery(
            cached_state=cached_state,
            machines=machines,
            membership=membership,
            peers=peers,
            send_queued_commands=self.send_queued_commands,
            routines=routines,
        )
        self.emit = self.event_delivery.emit
        self.deliver_events = self.event_delivery.deliver_events
        self.outboxes = self.event_delivery.outboxes

        self.evacuation = ReplicaEvacuation(
            machines=machines,
            membership=membership,
            peers=peers,
            send_queued_commands=self.send_queued_commands,
            routines=routines,
            settings=settings,
        )
        self.evacuate = self.evacuation.evacuate

        self.silence = SilenceWatch(
            cancelled_for_s=jobs.cancelled_for_s,
            command_s=self.command_s,
            evacuate=self.evacuate,
            fencing=fencing,
            inspect=self.inspect,
            machines=machines,
            membership=membership,
            peers=peers,
            renewal=renewal,
            routines=routines,
            silent_s=self.silent_s,
            stalls=stalls,
            view=view,
            workers=workers,
        )
        self.watch_silence = self.silence.watch_silence

    def connect(
        self,
        *,
        event_handler: EventHandler,
        placer: ReplicaPlacement,
        provisioner: CloudListing,
        routing: Routing,
    ) -> None:
        """Set the components that are built after this object."""
        self.event_delivery.connect(event_handler=event_handler, routing=routing)
        self.evacuation.connect(placer=placer)
        self.silence.connect(provisioner=provisioner)
