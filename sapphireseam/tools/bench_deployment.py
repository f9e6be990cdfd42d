"""Measures a whole deployment under load, with the policies or their baselines.

A fleet of the size of Shannonside or the Bureau runs as real processes on
loopback, with the customers and limits of a load profile. `seam-load` then sends
the profile's requests to both entries. Policies are chosen by name, and one seed
gives the same requests for a policy and its baseline.
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import typer

from sapphireseam.core import error
from sapphireseam.scripts import load as load_script
from sapphireseam.tools import fleet, layout, plan
from sapphireseam.utils import loop, program
from sapphireseam.utils.timer import SystemTimer

SHAPES = {"shannonside": layout.SHANNONSIDE, "bureau": layout.BUREAU}

app = typer.Typer(add_completion=False)


def describe_configuration(
    configuration: dict[str, Any], profile: plan.Profile, policy: dict[str, str]
) -> dict[str, Any]:
    """Return the configuration with the profile's contracts and routes.

    Each request kind with the protocol `post` gets its own non-idempotent route.
    """
    contracts = {
        item.name: {"rate": item.rate, "burst": item.burst}
        for item in profile.customers
    }
    customers = {item.name: {"contract": item.name} for item in profile.customers}
    routes = dict(configuration["routes"])
    for name, kind in profile.kinds.items():
        if kind.protocol == "post":
            routes[name] = {
                "path": kind.target,
                "service": kind.target.split("/")[1],
                "methods": ["POST"],
                "idempotent": False,
            }
    return {
        **configuration,
        "contracts": contracts,
        "customers": customers,
        "routes": routes,
        "policy": policy,
    }


def parse_policy(options: list[str]) -> dict[str, str]:
    """Return the policy's behaviours from `behaviour=name` options."""
    policy = {}
    for option in options:
        behaviour, separator, name = option.partition("=")
        if not separator:
            raise error.SettingsError(f"policy {option!r}: expected behaviour=name")
        policy[behaviour] = name
    return policy


async def fill_buckets(entry: str, keys: dict[str, str], profile: plan.Profile) -> None:
    """Send one request for each customer, then wait until every bucket is full.

    The owner of the limits creates a customer's bucket at the first request, and
    creates it empty. Without this step a run would not start in the steady state.
    """
    models = [kind.target for kind in profile.kinds.values() if kind.is_model]
    body = {"model": models[0], "prompt": "fill", "max_tokens": 1}
    async with aiohttp.ClientSession() as http:
        for key in keys.values():
            headers = {"Authorization": f"Bearer {key}"}
            url = f"http://{entry}/v1/completions"
            async with http.post(url, json=body, headers=headers):
                pass
    longest_fill = max(item.burst / item.rate for item in profile.customers)
    await SystemTimer().sleep(longest_fill + 1.0)


def add_hooks(deployment: layout.Layout, profile: plan.Profile) -> None:
    """Make the simulated upstreams fail requests with the profile's fail marker."""
    for item in deployment.processes:
        if item.program == "seam-upstream":
            settings = json.loads(item.settings.read_text())
            settings["hooks"] = {"fail_marker": profile.fail_marker}
            item.settings.write_text(json.dumps(settings, indent=2) + "\n")


async def measure(
    folder: Path, profile_path: Path, options: list[str], policy: dict[str, str]
) -> int:
    """Run the fleet under the load and return the exit code of `seam-load`."""
    profile = load_script.read_profile(profile_path)
    deployment = layout.lay_out(folder, SHAPES[profile.name])
    configuration = describe_configuration(deployment.configuration, profile, policy)
    deployment = deployment._replace(configuration=configuration)
    add_hooks(deployment, profile)
    async with fleet.run(deployment) as running:
        names = [item.name for item in profile.customers]
        keys_file = await fleet.write_keys(running.client, names, folder)
        keys = json.loads(keys_file.read_text())
        await fill_buckets(deployment.entries[0], keys, profile)
        return await run_load(
            deployment, running.processes, profile_path, keys_file, options
        )


async def run_load(
    deployment: layout.Layout,
    processes: fleet.Processes,
    profile_path: Path,
    keys_file: Path,
    options: list[str],
) -> int:
    """Run `seam-load` against both entries and return its exit code."""
    arguments = ["--profile", str(profile_path), "--keys", str(keys_file), *options]
    for address in deployment.entries:
        arguments += ["--entry", f"http://{address}"]
    for upstream in deployment.configuration["upstreams"].values():
        arguments += ["--upstream", f"http://{upstream['address']}"]
    for item in deployment.processes:
        side = "upstream" if item.program == "seam-upstream" else "system"
        pid = processes.read_pid(item.node)
        arguments += [f"--{side}-pid", f"{item.node}={pid}"]
    binary = Path(sys.executable).parent / "seam-load"
    process = await asyncio.create_subprocess_exec(binary, *arguments)
    return await process.wait()


@app.command()
def bench(
    profile: Annotated[Path, typer.Option(help="The run, for seam-load.")],
    policy: Annotated[
        list[str], typer.Option(help="behaviour=name; repeat for more.")
    ] = [],  # noqa: B006
    seconds: Annotated[float | None, typer.Option(help="Online seconds.")] = None,
    seed: Annotated[int | None, typer.Option(help="Instead of the profile's.")] = None,
    no_jobs: Annotated[bool, typer.Option(help="Online requests only.")] = False,
    output: Annotated[Path | None, typer.Option(help="The JSON report.")] = None,
    folder: Annotated[Path | None, typer.Option(help="Where files go.")] = None,
) -> None:
    """Run a deployment's load against a fleet of its size.

    Example: python -m sapphireseam.tools.bench_deployment --profile
    examples/load/shannonside.json --policy queue=first_come
    """
    target = folder or Path(tempfile.mkdtemp(prefix="seam-bench-"))
    options = []
    for name, value in (("seconds", seconds), ("seed", seed), ("output", output)):
        if value is not None:
            options += [f"--{name}", str(value)]
    if no_jobs:
        options.append("--no-jobs")
    try:
        choices = parse_policy(policy)
        sys.exit(loop.run(measure(target, profile, options, choices)))
    except error.SettingsError as failure:
        typer.echo(failure.message, err=True)
        sys.exit(program.BAD_SETTINGS_EXIT)


if __name__ == "__main__":
    app()
