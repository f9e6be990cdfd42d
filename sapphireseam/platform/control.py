"""Builds and runs a control VM on one of the platform's storage machines."""

from pathlib import Path

from sapphireseam.control import admin, application as control, placement
from sapphireseam.core import error
from sapphireseam.core.instance import Instance
from sapphireseam.platform import dialect, listing, operator, reload, report, setting
from sapphireseam.utils import outbound, program, startup
from sapphireseam.utils.application import Application
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.grace import Grace
from sapphireseam.utils.timer import SystemTimer

# The contracts under which entries without a leader spread the load.
SPREADING_CONTRACTS = frozenset({"places", "pressure"})


def make_settings(settings: setting.Settings) -> control.Settings:
    """Return the settings of a control VM as `control.application` takes them."""
    if settings.data_folder is None:
        raise error.SettingsError("a control VM needs a data folder")
    return control.Settings(
        settings.address,
        settings.failure_domain,
        settings.address,
        f"{settings.ip}:{setting.METRICS_PORT}",
        Path(settings.data_folder),
        setting.FLEET_SECRET,
        tuple(control.Peer(name, name) for name in settings.control),
        2 * settings.tolerated + 1,
        settings.is_first_start,
        settings.label,
        settings.keep_s,
        settings.grace_s,
        not SPREADING_CONTRACTS.isdisjoint(settings.contracts),
        settings.memory_mb,
        settings.max_fds,
    )


def build(
    settings: setting.Settings, predecessor_ended: float | None = None
) -> Application:
    """Return the application of one storage machine.

    `predecessor_ended` is a time in seconds on the timer's clock, at which the last
    process that used the data folder had ended.
    """
    if not settings.operator_address:
        raise error.SettingsError("a control VM needs an address for operators")
    address = settings.operator_address
    clients: list[ControlClient] = []

    def is_known(zone: str) -> bool:
        return not settings.failure_domains or zone in settings.failure_domains

    def make_operator_server(
        admin_service: admin.AdminService, client: ControlClient, grace: Grace
    ) -> operator.OperatorFront:
        clients.append(client)
        return operator.OperatorFront(
            admin_service, address, grace, settings.contracts, is_known, guard
        )

    timer = SystemTimer()
    control_settings = make_settings(settings)
    guard = control.make_guard(control_settings, timer)
    upstreams = outbound.ConnectionPool(dialect.ReplicaDialect(), guard.budget)
    replicas = listing.Listing(settings.list_address)

    async def probe(
        instance: Instance, path: str, seconds: float
    ) -> placement.ProbeResult | None:
        reply = await upstreams.send_order(instance, "GET", path, b"", seconds)
        if reply is None or not reply.is_success:
            return None
        return report.read_report(reply.body)

    async def stop_run(instance: Instance, request: str, target: Instance) -> None:
        await report.stop_run(upstreams, instance, request, target)

    integration = control.Integration(
        replicas,
        upstreams,
        probe,
        stop_run,
        make_operator_server,
        lambda: replicas.cold_left,
        guard,
    )
    application = control.build(control_settings, timer, integration, predecessor_ended)
    application.add(replicas)
    application.add(reload.Reloader(setting.find_path(), settings, clients[0], timer))
    return application


def main() -> None:
    """Start the program."""
    path = setting.find_path()
    # Only the first application follows another process. An application that is
    # rebuilt after a storage fault follows an earlier one of the same process.
    predecessor_ends = iter([startup.START_TIME])

    def build_next(settings: setting.Settings) -> Application:
        return build(settings, next(predecessor_ends, None))

    program.run_daemon(
        "seam-control", setting.Settings, build_next, path, restarts=True
    )
