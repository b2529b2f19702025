"""Which part of the processor time of a simulated day the controllers' own code took.

A timer of the process's own processor time looks at the stack every millisecond; a sample
counts for the innermost frame that belongs to the controllers or to the stand-ins, so that what
the standard library or a package does counts for whoever called it. The event loop's own time
belongs to neither.
"""

from __future__ import annotations

import signal
from pathlib import Path
from types import FrameType, TracebackType

import clayport

INTERVAL_S = 0.001
CONTROLLERS = str(Path(clayport.__file__).parent)
STAND_INS = tuple(str(Path(CONTROLLERS).parent / name) for name in ("tests", "bench"))


class Sampler:
    """Counts samples while it is entered; used in the main thread only."""

    def __init__(self) -> None:
        self.controllers = self.stand_ins = self.event_loop = 0

    def __enter__(self) -> Sampler:
        """Start the profiling timer."""
        self.before = signal.signal(signal.SIGPROF, self._sample)
        signal.setitimer(signal.ITIMER_PROF, INTERVAL_S, INTERVAL_S)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the timer and put the earlier signal handler back."""
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        signal.signal(signal.SIGPROF, self.before)

    def _sample(self, _: int, frame: FrameType | None) -> None:
        while frame is not None:
            name = frame.f_code.co_filename
            if name.startswith(CONTROLLERS):
                self.controllers += 1
                return
            if name.startswith(STAND_INS) and "sampler" not in name:
                # Below a routine of the event loop there is always the bench's own start.
                if frame.f_code.co_name in ("simulate", "main", "<module>"):
                    break
                self.stand_ins += 1
                return
            frame = frame.f_back
        self.event_loop += 1

    def share(self) -> float:
        """The controllers' part of all samples; the event loop's is left out."""
        total = self.controllers + self.stand_ins + self.event_loop
        return self.controllers / total if total else 0.0
