"""Starts the control or the entry program, with a short start-up time.

Callers are not served during a restart, and imports take most of its time. Garbage
collection finds nothing to free during the imports and takes an eighth of that time,
so it is enabled only once the program runs (utils/application.py). Certificates are
not read, because no program here uses TLS (deploy/system.toml).
"""

import gc
import signal
import sys

from sapphireseam.utils import startup  # noqa: F401  # Records the start time.

CONTROL = "control"
ENTRY = "entry"
USAGE = f"usage: python3 -m sapphireseam.platform.start {CONTROL}|{ENTRY}"


def main(arguments: list[str]) -> None:
    """Run the program that the only argument names."""
    if arguments not in ([CONTROL], [ENTRY]):
        sys.exit(USAGE)
    gc.disable()
    # The settings are read after this, so there is nothing to reload yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if arguments == [CONTROL]:
        from sapphireseam.platform import control as program
    else:
        from sapphireseam.platform import entry as program
    program.main()


if __name__ == "__main__":
    main(sys.argv[1:])
