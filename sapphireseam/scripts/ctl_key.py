"""Commands that issue, withdraw and list callers' keys."""

from typing import Annotated

import typer

from sapphireseam.ops import key, operator, table
from sapphireseam.scripts.ctl_configuration import JsonOption, YesOption

app = typer.Typer(
    help="Issue, withdraw and list callers' keys.",
    no_args_is_help=True,
    rich_markup_mode=None,
)


@app.command()
def issue(
    context: typer.Context,
    customer: Annotated[str, typer.Argument(help="The customer that gets the key.")],
) -> None:
    """Issue a key for a customer and print its text on standard output.

    The text is not stored and cannot be shown again: give it to the customer now.
    The key's public id is printed on standard error.

    \b
    Examples:
      seam-ctl key issue grower-1
      seam-ctl key issue grower-1 > grower-1.key
    """

    async def work(connection: operator.Operator):
        return await key.issue(connection, customer)

    secret = operator.run(context.obj, work)
    typer.echo(
        f"key {secret.id} issued for {customer}; its text is shown only now:", err=True
    )
    typer.echo(secret.text)


@app.command()
def withdraw(
    context: typer.Context,
    key_id: Annotated[str, typer.Argument(help="The key's id or its full text.")],
    yes: YesOption = False,
) -> None:
    """Withdraw a key for good; its running requests are aborted within seconds.

    Example: seam-ctl key withdraw 3f9a1c20b7de --yes
    """
    if not yes:
        typer.confirm("Withdraw this key? This cannot be undone.", abort=True)

    async def work(connection: operator.Operator):
        return await key.withdraw(connection, key_id)

    name = operator.run(context.obj, work)
    typer.echo(f"key {name} is withdrawn")


@app.command("list")
def list_keys(
    context: typer.Context,
    customer: Annotated[str, typer.Option(help="Only keys of this customer.")] = "",
    as_json: JsonOption = False,
) -> None:
    """List all issued keys by their ids; their secrets are not stored.

    Example: seam-ctl key list --customer grower-1
    """

    async def work(connection: operator.Operator):
        return await key.list_all(connection, customer)

    rows = operator.run(context.obj, work)
    if as_json:
        names = ("id", "customer", "issued", "withdrawn")
        table.write_json([{n: getattr(row, n) for n in names} for row in rows])
        return
    cells = [
        (
            row.id,
            row.customer,
            table.render_time(row.issued),
            "withdrawn" if row.withdrawn else "live",
        )
        for row in rows
    ]
    table.write("Keys", ("id", "customer", "issued (UTC)", "state"), cells, "none")
