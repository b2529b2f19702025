"""Sampling profiler for the controllers' share of a simulated day's processor time.

A timer of the process's own processor time samples the stack every millisecond. A sample counts
for the innermost frame that belongs to the controllers or to the stand-ins of the tests and
benchmarks, so that time in the standard library or in a package counts for its caller. The event
loop's own time counts for neither.
"""

from __future__ import annotations

import signal
from pathlib import Path
from types import FrameType, TracebackType

import clayport

SAMPLE_INTERVAL_S = 0.001
CONTROLLER_CODE = str(Path(clayport.__file__).parent)
STAND_IN_CODE = tuple(str(Path(CONTROLLER_CODE).parent / name) for name in ("tests", "bench"))


class Sampler:
    """Context manager that counts stack samples; it works in the main thread only."""

    def __init__(self) -> None:
        self.controllers = self.stand_ins = self.event_loop = 0

    def __enter__(self) -> Sampler:
        """Start the profiling timer."""
        self.previous_handler = signal.signal(signal.SIGPROF, self._sample)
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the timer and restore the previous signal handler."""
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        signal.signal(signal.SIGPROF, self.previous_handler)

    def _sample(self, _: int, frame: FrameType | None) -> None:
        while frame is not None:
            filename = frame.f_code.co_filename
            if filename.startswith(CONTROLLER_CODE):
                self.controllers += 1
                return
            if filename.startswith(STAND_IN_CODE) and "sampler" not in filename:
                # The outermost frames of the event loop's stack are the benchmark's own entry
                # points, so reaching one means that the sample belongs to the event loop.
                if frame.f_code.co_name in ("simulate", "main", "<module>"):
                    break
                self.stand_ins += 1
                return
            frame = frame.f_back
        self.event_loop += 1

    def share(self) -> float:
        """Return the controllers' share of all samples, including those of the event loop."""
        total = self.controllers + self.stand_ins + self.event_loop
        return self.controllers / total if total else 0.0
