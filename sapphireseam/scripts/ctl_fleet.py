"""Commands that show the fleet, drain upstreams and change members."""

from typing import Annotated

import typer

from sapphireseam.core import event
from sapphireseam.ops import (
    evacuation as evacuations,
    member as members,
    operator,
    status as statuses,
    table,
    timeline as timelines,
    upstream as upstreams,
)
from sapphireseam.scripts.ctl_configuration import JsonOption, YesOption

drain_app = typer.Typer(
    help="Take upstreams out of service.", no_args_is_help=True, rich_markup_mode=None
)
undrain_app = typer.Typer(
    help="Put upstreams back into service.",
    no_args_is_help=True,
    rich_markup_mode=None,
)
member_app = typer.Typer(
    help="Add, promote and remove control VMs.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

UpstreamArgument = Annotated[str, typer.Argument(help="The upstream's name.")]
DomainArgument = Annotated[str, typer.Argument(help="The failure domain's name.")]
ForceOption = Annotated[
    bool,
    typer.Option(
        "--force",
        help="Even if the domain is unknown or a service loses all upstreams.",
    ),
]
MemberArgument = Annotated[str, typer.Argument(help="The control VM's name.")]


def register(app: typer.Typer) -> None:
    """Add the commands to the command line."""
    app.command()(status)
    app.command()(timeline)
    app.command()(evacuate)
    app.command()(readmit)
    app.add_typer(drain_app, name="drain")
    app.add_typer(undrain_app, name="undrain")
    app.add_typer(member_app, name="member")


def status(context: typer.Context, as_json: JsonOption = False) -> None:
    """Show the whole fleet; exit with 1 if it needs an operator.

    Queries each control VM separately, to distinguish one that is cut off from
    one that is down. A customer is at its limit if it was refused for its rate
    in the last minute.

    Example: seam-ctl status
    """
    found = operator.run(context.obj, statuses.read)
    healthy = statuses.is_healthy(found)
    if as_json:
        table.write_json({"well": healthy, **table.to_plain(found)})
    else:
        _write_status(found)
    if not healthy:
        raise typer.Exit(operator.REFUSED_EXIT)


def _write_status(found: statuses.Status) -> None:
    leader = found.leader or "NONE: no change is possible without a quorum"
    typer.echo(f"leader {leader}, revision {found.revision} in force")
    columns = ("name", "address", "state", "term", "applied", "revision", "cause")
    table.write("Control VMs", columns, found.members)
    rows = [(*row[:3], f"{row.silent:.1f} s", row.state) for row in found.processes]
    columns = ("node", "program", "revision", "last contact", "state")
    table.write("Processes", columns, rows, "no contact")
    missing = max(found.upstreams - found.agents, 0)
    note = f", {missing} WITHOUT AN AGENT" if missing else ""
    typer.echo(f"Upstreams in the configuration: {found.upstreams}{note}")
    typer.echo(f"Leaving upstreams: {', '.join(found.leaving) or 'none'}")
    rows = [(row.domain, table.render_time(row.since)) for row in found.evacuations]
    table.write("Evacuated failure domains", ("domain", "since (UTC)"), rows, "none")
    rows = [
        (
            row.upstream,
            f"{row.rate:g}",
            f"{row.seconds:.1f} s",
            "presumed" if row.is_presumed else "said",
        )
        for row in found.cold
    ]
    columns = ("upstream", "requests a second", "for", "as")
    table.write("Cold upstreams", columns, rows, "none")
    rows = [
        (
            row.id,
            row.customer,
            f"{row.finished}/{row.count}",
            table.render_time(row.due),
            table.render_time(row.end),
        )
        for row in found.jobs
    ]
    columns = ("job", "customer", "finished", "due (UTC)", "expected end (UTC)")
    table.write("Jobs at risk of missing their due time", columns, rows, "none")
    columns = ("customer", "refusals in the last minute")
    table.write("Customers at their limit", columns, found.limited, "none")
    for line in found.unknown:
        typer.echo(f"unknown: {line}")


def timeline(
    context: typer.Context,
    request: Annotated[str, typer.Option(help="Only this request.")] = "",
    job: Annotated[str, typer.Option(help="Only this job.")] = "",
    customer: Annotated[str, typer.Option(help="Only this customer.")] = "",
    key: Annotated[str, typer.Option(help="Only this key id.")] = "",
    revision: Annotated[int, typer.Option(help="Only this revision.")] = 0,
    since: Annotated[
        str, typer.Option(help="A duration such as 90s, 10m, 2h, 1d.")
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """Show the events of all processes, by time and with causes before effects.

    \b
    Examples:
      seam-ctl timeline --since 10m
      seam-ctl timeline --request req-1f0c22ab7d9e4410
      seam-ctl timeline --customer grower-1 --json
    """

    async def work(connection: operator.Operator):
        begin = (
            connection.read_time() - timelines.parse_duration(since) if since else 0.0
        )
        wanted = timelines.Filter(request or job, customer, key, revision)
        return await timelines.read(connection, begin, wanted)

    merged = operator.run(context.obj, work)
    for address in merged.silent:
        typer.echo(f"no answer from {address}: some events may be missing", err=True)
    if as_json:
        for item in merged.events:
            table.write_line(item._asdict())
        return
    columns = ("time (UTC)", "node", "event", "subject", "customer", "about")
    table.write("Events", columns, map(_render_event, merged.events), "none")


def _render_event(item: event.Event) -> tuple[str, ...]:
    revision = f"revision {item.revision}" if item.revision else ""
    key = f"key {item.key}" if item.key else ""
    about = " ".join(filter(None, (key, revision, item.detail)))
    moment = f"{table.render_time(item.clock)[11:]}.{int(item.clock % 1 * 1e6):06}"
    return (moment, item.node, item.name, item.subject, item.customer, about)


def evacuate(
    context: typer.Context,
    domain: DomainArgument,
    yes: YesOption = False,
    force: ForceOption = False,
) -> None:
    """Send no new work to the upstreams of a failure domain; running work finishes.

    Example: seam-ctl evacuate dublin-b
    """
    if not yes:
        typer.confirm(f"Send no new work to {domain}?", abort=True)
    _set_evacuation(context, domain, True, force)
    typer.echo(f"{domain} is evacuated: new work stops within a second")


def readmit(context: typer.Context, domain: DomainArgument) -> None:
    """Take back the evacuation of a failure domain.

    Example: seam-ctl readmit dublin-b
    """
    _set_evacuation(context, domain, False, False)
    typer.echo(f"{domain} is back in service")


def _set_evacuation(
    context: typer.Context, domain: str, is_evacuated: bool, is_forced: bool
) -> None:
    async def work(connection: operator.Operator):
        await evacuations.set_evacuation(connection, domain, is_evacuated, is_forced)

    operator.run(context.obj, work)


@drain_app.command("upstream")
def drain(
    context: typer.Context, name: UpstreamArgument, yes: YesOption = False
) -> None:
    """Send no new work to an upstream; its running work finishes.

    Example: seam-ctl drain upstream wording-llm-3
    """
    if not yes:
        typer.confirm(f"Send no new work to {name}?", abort=True)
    _set_leaving(context, name, True)
    typer.echo(f"{name} is leaving: new work stops within seconds")


@undrain_app.command("upstream")
def undrain(context: typer.Context, name: UpstreamArgument) -> None:
    """Send work to an upstream again.

    Example: seam-ctl undrain upstream wording-llm-3
    """
    _set_leaving(context, name, False)
    typer.echo(f"{name} is back in service")


def _set_leaving(context: typer.Context, name: str, leaving: bool) -> None:
    async def work(connection: operator.Operator):
        await upstreams.mark_leaving(connection, name, leaving)

    operator.run(context.obj, work)


@member_app.command()
def add(
    context: typer.Context,
    name: MemberArgument,
    address: Annotated[str, typer.Argument(help="Its address host:port.")],
) -> None:
    """Add a control VM as a learner; it does not count towards the quorum yet.

    First start its process with a new, empty data folder. Promote it afterwards.

    Example: seam-ctl member add control-4 10.0.0.4:7000
    """

    async def work(connection: operator.Operator):
        await members.add(connection, name, address)

    operator.run(context.obj, work)
    typer.echo(f"{name} is a learner; next: seam-ctl member promote {name}")


@member_app.command()
def promote(context: typer.Context, name: MemberArgument) -> None:
    """Make a learner a voter once it has all committed entries.

    Example: seam-ctl member promote control-4
    """

    async def work(connection: operator.Operator):
        await members.promote(connection, name)

    operator.run(context.obj, work)
    typer.echo(f"{name} is a voter")


@member_app.command()
def remove(
    context: typer.Context, name: MemberArgument, yes: YesOption = False
) -> None:
    """Remove a control VM from the members.

    Example: seam-ctl member remove control-2
    """

    async def work(connection: operator.Operator):
        await members.find(connection, name)
        by_name = await members.list_all(connection)
        if not yes:
            remaining = sum(
                item.voter and item.name != name for item in by_name.values()
            )
            text = f"Remove {name}? {remaining} voter(s) will remain."
            typer.confirm(text, abort=True)
        await members.remove(connection, name)

    operator.run(context.obj, work)
    typer.echo(f"{name} is no longer a member; stop its process")
