"""Read the settings that deploy/settings.json makes of the platform's own.

The template renders names of ours; addresses of other processes are worked out
here, since every process takes the system's calls on the same port.
"""

import os
from pathlib import Path
from typing import Annotated, NamedTuple

from pydantic import Field

from sapphireseam.core import error, fleet
from sapphireseam.policy import fallback
from sapphireseam.utils import setting

PATH_VARIABLE = "SAPPHIRESEAM_CONFIG"
# The platform gives no secret and lets nobody else reach the internal ports.
FLEET_SECRET = "the-platform-closes-internal-ports"
# Where each program serves its metrics, also in deploy/system.toml.
METRICS_PORT = 9464
MILLISECONDS = 1000.0

Port = Annotated[int, Field(ge=1, le=65535)]


class Settings(NamedTuple):
    """Hold one process's settings.

    `seeds` are operator addresses of a few control VMs, `port` is where every
    process takes the system's calls. `slack_window` is in seconds; results of a
    batch job are kept for `keep_s` after it came.
    """

    label: str
    ip: str
    failure_domain: str
    port: Port
    seeds: tuple[fleet.Address, ...]
    list_address: fleet.Address
    is_first_start: bool
    tolerated: int
    slack_requests: float
    slack_share: float
    slack_window: float
    trust_ms: float
    grace_s: float
    keep_s: float
    data_folder: str | None = None
    callers_address: str | None = None
    ready_address: str | None = None
    operator_address: str | None = None

    @property
    def node(self) -> str:
        """Return the name under which this process logs."""
        return self.label

    @property
    def address(self) -> str:
        """Return where this process takes the system's calls."""
        return f"{self.ip}:{self.port}"

    @property
    def control(self) -> tuple[str, ...]:
        """Return where a few control VMs take the system's calls."""
        hosts = [seed.rsplit(":", 1)[0] for seed in self.seeds]
        return tuple(f"{host}:{self.port}" for host in hosts)

    @property
    def slack(self) -> fallback.Slack:
        """Return by how much customers may pass their limits."""
        return fallback.Slack(self.slack_requests, self.slack_share, self.slack_window)


def find_path() -> Path:
    """Return the settings file, or raise `SettingsError`."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise error.SettingsError(f"{PATH_VARIABLE} names no settings file")
    return Path(path)


def read(path: Path) -> Settings:
    """Read the rendered settings."""
    return setting.read(Settings, path)
