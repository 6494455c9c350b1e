"""Runs seeds of the soak; see ``--help``."""

import signal
import sys
from argparse import ArgumentParser
from pathlib import Path

from test.soak.run import Soak
from test.soak.seeds import FAILED_SEEDS


def parse_seeds(text: str) -> list[int]:
    """Parse numbers and ranges, or ``failed`` for seeds that ever failed."""
    if text == "failed":
        return sorted(FAILED_SEEDS)
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def main() -> int:
    """Run the seeds one by one; return 1 if one broke a promise."""
    parser = ArgumentParser(prog="test.soak", description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="e.g. 1-50 or failed")
    parser.add_argument("--entries", type=int, default=4, help="processes")
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="time of faults"
    )
    parser.add_argument("--out", type=Path, default=Path("build/soak"))
    args = parser.parse_args()
    # The stand-ins have hundreds of threads, each with little to do.
    sys.setswitchinterval(0.0005)
    # Ends the processes of the run as an interrupt does.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(143))
    failed = []
    for seed in parse_seeds(args.seeds):
        out = args.out / f"seed-{seed}-{args.entries}"
        result = Soak(seed, out, args.entries, args.seconds).run()
        print(
            f"seed {seed}: {result.faults} faults, {result.jobs} jobs, "
            f"{result.starts} starts, {result.took_s:.1f} s, "
            f"{len(result.violations)} violations",
            flush=True,
        )
        for violation in result.violations:
            print(f"  {violation}", flush=True)
        if result.violations:
            failed.append(seed)
    print(f"failed: {failed}" if failed else "all passed")
    return 1 if failed else 0


sys.exit(main())
