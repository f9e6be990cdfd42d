"""Builds and runs an entry on one of the platform's edge machines."""

from sapphireseam.core import error
from sapphireseam.entry import discovery
from sapphireseam.platform import dialect, front, reload, setting
from sapphireseam.utils import door, outbound, program
from sapphireseam.utils.application import Application
from sapphireseam.utils.timer import SystemTimer


def build(settings: setting.Settings) -> Application:
    """Return the application of one edge machine."""
    if not settings.callers_address or not settings.ready_address:
        raise error.SettingsError(
            "an entry needs addresses for callers and readiness checks"
        )
    callers, ready = settings.callers_address, settings.ready_address
    timer = SystemTimer()
    guard = door.make_guard(timer, settings.memory_mb, settings.max_fds)
    contexts: list[discovery.FrontContext] = []

    def make_front(context: discovery.FrontContext) -> front.Front:
        contexts.append(context)
        return front.Front(context, callers, ready, guard)

    entry_settings = discovery.Settings(
        settings.label,
        settings.failure_domain,
        f"{settings.ip}:{setting.METRICS_PORT}",
        settings.control,
        setting.FLEET_SECRET,
        settings.trust_ms / setting.MILLISECONDS_PER_SECOND,
        settings.slack,
        settings.grace_s,
        settings.reads_nearby,
        settings.grants_by_use,
    )
    upstreams = outbound.ConnectionPool(dialect.ReplicaDialect(), guard.budget)
    application = discovery.build(entry_settings, upstreams, make_front, timer, guard)
    context = contexts[0]
    application.add(
        reload.Reloader(setting.find_path(), settings, context.client, context.timer)
    )
    return application


def main() -> None:
    """Start the program."""
    program.run_daemon("seam-entry", setting.Settings, build, setting.find_path())
