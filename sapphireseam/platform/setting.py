"""Reads the settings file, which the platform renders from deploy/settings.json.

The template translates the platform's settings to the names used here. Addresses of
other processes are derived here, because every process takes internal calls on the
same port.
"""

import os
from pathlib import Path
from typing import Annotated, NamedTuple

from pydantic import Field

from sapphireseam.core import error, fleet
from sapphireseam.policy import fallback
from sapphireseam.utils import setting

PATH_VARIABLE = "SAPPHIRESEAM_CONFIG"
# The platform provides no secret. It lets nobody outside the fleet reach the internal
# ports.
FLEET_SECRET = "the-platform-closes-internal-ports"
# Port of each program's metrics, also set in deploy/system.toml.
METRICS_PORT = 9464
MILLISECONDS_PER_SECOND = 1000.0

Port = Annotated[int, Field(ge=1, le=65535)]


class Settings(NamedTuple):
    """One process's settings.

    `seeds` are the operator addresses of a few control VMs. Every process takes
    internal calls on `port`. Up to `tolerated` control VMs may fail at once. An entry
    uses its last configuration for `trust_ms` after it lost contact with them. A
    process ends within `grace_s` seconds after a stop was requested.
    `slack_window` is in seconds. Results of a batch job are retained for at least
    `keep_s` seconds after the job was accepted. `contracts` names the parts of the
    platform's rules that bind this deployment. With `reads_nearby`, an entry reads
    results of batch jobs in its own failure domain. With `grants_by_use`, an entry
    without a leader grants customers what they used there lately. `failure_domains` are
    those of the deployment, each with its region. The VM allows the
    process `memory_mb` of memory and `max_fds` descriptors.
    """

    label: str
    ip: str
    failure_domain: str
    port: Port
    seeds: tuple[fleet.Address, ...]
    list_address: fleet.Address
    is_first_start: bool
    tolerated: Annotated[int, Field(ge=0)]
    slack_requests: fleet.NotNegative
    slack_share: fleet.NotNegative
    slack_window: fleet.NotNegative
    trust_ms: fleet.NotNegative
    grace_s: fleet.Positive
    keep_s: fleet.NotNegative
    contracts: tuple[str, ...] = ()
    reads_nearby: bool = False
    grants_by_use: bool = False
    failure_domains: dict[str, str] = {}
    memory_mb: fleet.Positive | None = None
    max_fds: Annotated[int, Field(ge=1)] | None = None
    data_folder: str | None = None
    callers_address: str | None = None
    ready_address: str | None = None
    operator_address: str | None = None

    @property
    def node(self) -> str:
        """Return the name of this process in logs."""
        return self.label

    @property
    def address(self) -> str:
        """Return the address on which this process takes internal calls."""
        return f"{self.ip}:{self.port}"

    @property
    def control(self) -> tuple[str, ...]:
        """Return the addresses on which a few control VMs take internal calls."""
        hosts = [seed.rsplit(":", 1)[0] for seed in self.seeds]
        return tuple(f"{host}:{self.port}" for host in hosts)

    @property
    def slack(self) -> fallback.Slack:
        """Return by how much customers may exceed their limits.

        An entry allows this while the owner of the rate limits does not answer.
        """
        return fallback.Slack(self.slack_requests, self.slack_share, self.slack_window)


def find_path() -> Path:
    """Return the path of the settings file, or raise `SettingsError`."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise error.SettingsError(
            f"environment variable {PATH_VARIABLE} must be the path of a settings file"
        )
    return Path(path)


def read(path: Path) -> Settings:
    """Return the settings in a file, or raise `SettingsError` if it is invalid."""
    return setting.read(Settings, path)
