"""The queue of waiting jobs, and the fair share of each class and team.

Pure: no I/O, no clock. `queue` keeps the jobs that wait in order, at a cost that follows what
happens to them and not how many they are; `shares` says which class or team has had so
little that its turn comes before others of higher rank.
"""

from clayport.scheduling.queueing.queue import Group as Group
from clayport.scheduling.queueing.queue import JobQueue as JobQueue
from clayport.scheduling.queueing.queue import SubQueue as SubQueue
from clayport.scheduling.queueing.shares import FairShares as FairShares
