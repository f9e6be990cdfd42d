"""Run an entry on the platform's edge machines."""

from sapphireseam.core import error
from sapphireseam.entry import discovery
from sapphireseam.platform import dialect, front, reload, setting
from sapphireseam.utils import outbound, program
from sapphireseam.utils.application import Application


def build(settings: setting.Settings) -> Application:
    """Return the application of one edge machine."""
    if not settings.callers_address or not settings.ready_address:
        raise error.SettingsError("an entry needs addresses for callers and readiness")
    callers, ready = settings.callers_address, settings.ready_address
    desks: list[discovery.FrontContext] = []

    def make_front(desk: discovery.FrontContext) -> front.Front:
        desks.append(desk)
        return front.Front(desk, callers, ready, settings.grace_s)

    product = discovery.Settings(
        settings.label,
        settings.failure_domain,
        f"{settings.ip}:{setting.METRICS_PORT}",
        settings.control,
        setting.FLEET_SECRET,
        settings.trust_ms / setting.MILLISECONDS,
        settings.slack,
    )
    upstreams = outbound.ConnectionPool(dialect.ReplicaDialect())
    application = discovery.build(product, upstreams, make_front)
    desk = desks[0]
    application.add(
        reload.Reloader(setting.find_path(), settings, desk.client, desk.timer)
    )
    return application


def main() -> None:
    """Start the program."""
    program.run_daemon("seam-entry", setting.Settings, build, setting.find_path())
