"""The queue of waiting jobs, and the fair shares of classes and teams.

This package does no I/O and reads no clock. `queue` keeps the waiting jobs in order; its cost grows
with the number of changes to jobs, not with the number of waiting jobs. `shares` decides which
classes and teams have had so little room that their jobs go before jobs of higher rank.
"""

from clayport.scheduling.queueing.queue import Group as Group
from clayport.scheduling.queueing.queue import JobQueue as JobQueue
from clayport.scheduling.queueing.queue import SubQueue as SubQueue
from clayport.scheduling.queueing.shares import FairShares as FairShares
