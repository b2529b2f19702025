"""Both sides of the promises on cancellations, under the name that they had in one module."""

from clayport.leases.promises import MAX_MISSED_CANCELLATIONS, Promises
from clayport.leases.watermark import CancellationWatermark

__all__ = ["MAX_MISSED_CANCELLATIONS", "CancellationWatermark", "Promises"]
