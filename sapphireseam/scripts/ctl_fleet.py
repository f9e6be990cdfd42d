"""Look at the fleet as a whole, drain upstreams, change members."""

from typing import Annotated

import typer

from sapphireseam.core import event
from sapphireseam.ops import (
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
MemberArgument = Annotated[str, typer.Argument(help="The control VM's name.")]


def register(app: typer.Typer) -> None:
    """Add the commands to the command line."""
    app.command()(status)
    app.command()(timeline)
    app.add_typer(drain_app, name="drain")
    app.add_typer(undrain_app, name="undrain")
    app.add_typer(member_app, name="member")


def status(context: typer.Context, as_json: JsonOption = False) -> None:
    """Show the whole fleet at a glance; exit 1 if something needs you.

    Asks every control VM by itself, so a cut-off one is told apart from one
    that is down. A customer is at its limit if it was refused for its rate in
    the last minute.

    Example: seam-ctl status
    """
    found = operator.run(context.obj, statuses.read)
    well = statuses.is_healthy(found)
    if as_json:
        table.write_json({"well": well, **table.to_plain(found)})
    else:
        _write_status(found)
    if not well:
        raise typer.Exit(operator.REFUSED_EXIT)


def _write_status(found: statuses.Status) -> None:
    leader = found.leader or "NONE: nothing can be changed until a quorum is back"
    typer.echo(f"leader {leader}, revision {found.revision} in force")
    columns = ("name", "address", "state", "term", "applied", "revision", "cause")
    table.write("Control VMs", columns, found.members)
    rows = [(*row[:3], f"{row.silent:.1f} s", row.state) for row in found.processes]
    columns = ("node", "program", "revision", "last heard", "state")
    table.write("Processes", columns, rows, "none heard")
    missing = max(found.upstreams - found.agents, 0)
    note = f", {missing} WITHOUT AN AGENT" if missing else ""
    typer.echo(f"Upstreams in the configuration: {found.upstreams}{note}")
    typer.echo(f"Leaving upstreams: {', '.join(found.leaving) or 'none'}")
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
        typer.echo(f"not known: {line}")


def timeline(
    context: typer.Context,
    request: Annotated[str, typer.Option(help="Only this request.")] = "",
    job: Annotated[str, typer.Option(help="Only this job.")] = "",
    customer: Annotated[str, typer.Option(help="Only this customer.")] = "",
    key: Annotated[str, typer.Option(help="Only this key id.")] = "",
    revision: Annotated[int, typer.Option(help="Only this revision.")] = 0,
    since: Annotated[str, typer.Option(help="A span such as 90s, 10m, 2h, 1d.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Show the events of all processes, merged by cause and time.

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
        typer.echo(f"no answer from {address}: events may be missing", err=True)
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


@drain_app.command("upstream")
def drain(
    context: typer.Context, name: UpstreamArgument, yes: YesOption = False
) -> None:
    """Give an upstream no new work; what runs there finishes.

    Example: seam-ctl drain upstream wording-llm-3
    """
    if not yes:
        typer.confirm(f"Give {name} no new work?", abort=True)
    _mark(context, name, True)
    typer.echo(f"{name} leaves: it gets no new work within seconds")


@undrain_app.command("upstream")
def undrain(context: typer.Context, name: UpstreamArgument) -> None:
    """Give an upstream work again.

    Example: seam-ctl undrain upstream wording-llm-3
    """
    _mark(context, name, False)
    typer.echo(f"{name} is back")


def _mark(context: typer.Context, name: str, leaving: bool) -> None:
    async def work(connection: operator.Operator):
        await upstreams.mark_leaving(connection, name, leaving)

    operator.run(context.obj, work)


@member_app.command()
def add(
    context: typer.Context,
    name: MemberArgument,
    address: Annotated[str, typer.Argument(help="Its address host:port.")],
) -> None:
    """Add a control VM as a learner; it counts towards no quorum yet.

    Start its process with a new, empty data folder first, then promote it.

    Example: seam-ctl member add control-4 10.0.0.4:7000
    """

    async def work(connection: operator.Operator):
        await members.add(connection, name, address)

    operator.run(context.obj, work)
    typer.echo(f"{name} learns; next: seam-ctl member promote {name}")


@member_app.command()
def promote(context: typer.Context, name: MemberArgument) -> None:
    """Make a learner a voter, once it holds all that is committed.

    Example: seam-ctl member promote control-4
    """

    async def work(connection: operator.Operator):
        await members.promote(connection, name)

    operator.run(context.obj, work)
    typer.echo(f"{name} votes")


@member_app.command()
def remove(
    context: typer.Context, name: MemberArgument, yes: YesOption = False
) -> None:
    """Remove a control VM from the members.

    Example: seam-ctl member remove control-2
    """

    async def work(connection: operator.Operator):
        await members.find(connection, name)
        voters = await members.list_all(connection)
        if not yes:
            left = sum(item.voter and item.name != name for item in voters.values())
            text = f"Remove {name}? {left} voter(s) will be left."
            typer.confirm(text, abort=True)
        await members.remove(connection, name)

    operator.run(context.obj, work)
    typer.echo(f"{name} is no member any more; stop its process")
