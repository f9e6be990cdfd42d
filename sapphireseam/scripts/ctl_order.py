"""Commands that give orders to upstreams and list them."""

from enum import StrEnum
from typing import Annotated

import typer

from sapphireseam.ops import operator, order as orders, table
from sapphireseam.scripts.ctl_configuration import JsonOption, YesOption

app = typer.Typer(
    help="Give orders to upstreams: load, unload, change role.",
    no_args_is_help=True,
    rich_markup_mode=None,
)


class Action(StrEnum):
    """The actions that an order can request of an upstream."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@app.command()
def give(
    context: typer.Context,
    upstream: Annotated[str, typer.Argument(help="The upstream's name.")],
    action: Annotated[Action, typer.Argument(help="The action to carry out.")],
    target: Annotated[str, typer.Argument(help="A model, adapter, version or role.")],
    yes: YesOption = False,
) -> None:
    """Order an upstream to load or unload a target, or to change its role.

    An upstream carries out one order at a time. The policy's parallel_loads
    limits how many loads run at once in the fleet. Prints the order's fencing
    number.

    \b
    Examples:
      seam-ctl order give wording-llm-1 load wording-llm-2
      seam-ctl order list --upstream wording-llm-1
    """
    if not yes:
        typer.confirm(f"Order {upstream} to {action} {target}?", abort=True)

    async def work(connection: operator.Operator):
        return await orders.give(connection, upstream, action, target)

    fence = operator.run(context.obj, work)
    typer.echo(f"order {fence} waits; to see its state: seam-ctl order list")


@app.command("list")
def list_orders(
    context: typer.Context,
    upstream: Annotated[str, typer.Option(help="Only orders of this upstream.")] = "",
    as_json: JsonOption = False,
) -> None:
    """List orders and their states, newest first.

    Example: seam-ctl order list
    """

    async def work(connection: operator.Operator):
        return await orders.list_all(connection, upstream)

    rows = operator.run(context.obj, work)
    if as_json:
        states = [{"state": orders.describe_state(row)} for row in rows]
        pairs = zip(rows, states, strict=True)
        table.write_json([row._asdict() | state for row, state in pairs])
        return
    cells = [
        (
            row.fence,
            row.upstream,
            f"{row.action} {row.argument}",
            table.render_time(row.at),
            orders.describe_state(row),
        )
        for row in rows
    ]
    columns = ("order", "upstream", "what", "given (UTC)", "state")
    table.write("Orders", columns, cells, "none")
