"""Start one of the programs quickly.

A restart is time in which callers are not served, and most of it is spent on
imports. Collecting garbage meanwhile finds none and takes an eighth of it, so
that begins only once the program runs (utils/application.py). Certificates are
not read, since nothing here speaks TLS (deploy/system.toml).
"""

import gc
import sys

from sapphireseam.utils import startup  # noqa: F401  # Notes the time.

CONTROL = "control"
ENTRY = "entry"
USAGE = f"usage: python3 -m sapphireseam.platform.start {CONTROL}|{ENTRY}"


def main(arguments: list[str]) -> None:
    """Run the program that the one argument names."""
    if arguments not in ([CONTROL], [ENTRY]):
        sys.exit(USAGE)
    gc.disable()
    if arguments == [CONTROL]:
        from sapphireseam.platform import control as program
    else:
        from sapphireseam.platform import entry as program
    program.main()


if __name__ == "__main__":
    main(sys.argv[1:])
