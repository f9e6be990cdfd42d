"""Checks the platform's form of a configuration before it is sent.

The document is translated and checked like any other; the findings and differences
then name the places in the platform's own document. Nothing here needs a network: what
is in force comes from a second file, such as an answer to `/config/get`.

    python -m sapphireseam.platform.lint FILE [--in-force FILE] [--strict] [--json]
"""

import json
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import msgspec
import typer

from sapphireseam.core import error, fleet, key, lint
from sapphireseam.ops import configuration, effect, inspection, operator
from sapphireseam.platform import document

OLD_VERSION = "old-version"

SECTIONS = {
    "routes": "routes",
    "services": "services",
    "customers": "tenants",
    "contracts": "tenants",
    "bounds": "limits",
}
# The fields of the platform from which a field of the translation is made.
FIELDS: dict[str, dict[str, tuple[str, ...]]] = {
    "routes": {
        "path": ("path_prefix",),
        "host": ("host",),
        "service": ("service", "weighted_services"),
        "shares": ("weighted_services",),
        "methods": (),
        "open": ("public",),
        "idempotent": ("route_type", "resumable"),
        "streamed": ("route_type",),
        "timeout": ("timeout_ms",),
        "target": ("target_latency_ms",),
        "pause": ("gap_target_ms",),
        "attempts": ("max_attempts",),
        "rank": ("priority",),
        "batch": (
            "route_type",
            "completion_target_ms",
            "retention_s",
            "max_attempts",
            "cap",
        ),
        "batch.due": ("completion_target_ms",),
        "batch.abandon": ("retention_s",),
        "batch.attempts": ("max_attempts",),
        "batch.token_limit": ("cap",),
    },
    "services": {
        "connections": ("max_connections",),
        "probe_path": ("health_path", "engine"),
        "tells_load": ("engine",),
        "ejects_outliers": (),
        "fair": (),
        "cold_rate": ("cold_per_s",),
        "cold_seconds": ("cold_start_s",),
    },
    "customers": {
        "contract": ("rate_per_s",),
        "keys": ("api_keys",),
        "rank": ("priority",),
    },
    "contracts": {
        "rate": ("rate_per_s",),
        "burst": ("burst",),
        "weight": ("rate_per_s",),
    },
    "bounds": {
        "header_bytes": ("max_header_bytes",),
        "body_bytes": ("max_body_bytes",),
        "idle": ("idle_timeout_ms",),
        "head": ("header_timeout_ms",),
    },
}


class Place(NamedTuple):
    """A place in the translation: an object, and a field or nothing."""

    section: str
    name: str
    field: str

    def render_object(self) -> str:
        """Return where the object is in the platform's document."""
        section = SECTIONS.get(self.section, self.section)
        return f"{section}.{self.name}" if self.name else section

    def translate_field(self) -> str:
        """Return the field in the platform's document.

        >>> Place("routes", "r1", "shares.0.weight").translate_field()
        'weighted_services.0.weight'
        """
        fields = FIELDS.get(self.section, {})
        head, separator, rest = self.field.partition(".")
        if self.field in fields:
            head, separator, rest = self.field, "", ""
        return (*fields.get(head, ()), head)[0] + separator + rest


class Source(NamedTuple):
    """A configuration of the platform: its objects by section, and the translation."""

    version: int
    sections: dict[str, Any]
    translated: dict[str, Any]

    def locate(self, source: str) -> Place:
        """Return the place that a dotted path in the translation names."""
        section, _, rest = source.partition(".")
        if section in effect.SINGLE_SECTIONS:
            return Place(section, "", rest)
        # Names may have dots, too.
        names = [
            name
            for name in self.translated.get(section, {})
            if rest == name or rest.startswith(f"{name}.")
        ]
        name = max(names, key=len, default=rest)
        return Place(section, name, rest[len(name) + 1 :])

    def read_object(self, place: Place) -> dict[str, Any] | None:
        """Return an object in the platform's form, or None if it isn't there."""
        found = self.sections[SECTIONS[place.section]]
        return found.get(place.name) if place.name else found

    def _find_share(self, place: Place, service: str) -> Place:
        """Return the place of the share that names a service, if one does."""
        shares = self.translated["routes"][place.name]["shares"]
        for number, share in enumerate(shares):
            if share["service"] == service:
                return place._replace(field=f"shares.{number}.service")
        return place

    def translate(self, item: lint.Finding) -> lint.Finding:
        """Return a finding with its place and number in the platform's form."""
        place = self.locate(item.source)
        if place.section not in SECTIONS:
            return item
        if (place.section, place.field) == ("routes", "service"):
            place = self._find_share(place, item.entry)
        field = place.translate_field()
        source = f"{place.render_object()}.{field}" if field else place.render_object()
        found: Any = self.read_object(place)
        for part in field.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        is_number = isinstance(found, int | float)
        return item._replace(source=source, entry=found if is_number else item.entry)


def _make_source(data: bytes) -> Source:
    """Return a configuration and its translation; raise `ConfigurationError`."""
    translated = document.translate(data)
    plain = msgspec.to_builtins(document.read(data))
    for tenant in plain["tenants"]:
        # Keys are secret.
        tenant["api_keys"] = [key.digest(text) for text in tenant["api_keys"]]
    sections = {
        section: {item["name"]: item for item in plain[section]}
        for section in ("routes", "services", "tenants")
    }
    sections["limits"] = plain["limits"]
    return Source(translated.number, sections, json.loads(translated.document))


def check(data: bytes, in_force: bytes | None = None) -> inspection.Inspection:
    """Return the findings about a configuration, and how it differs from another.

    Raises `SettingsError` if `in_force` can't be translated.
    """
    try:
        former = None if in_force is None else _make_source(in_force)
    except error.ConfigurationError as failure:
        text = f"the configuration to compare with: {failure.message}"
        raise error.SettingsError(text) from None
    revision = None if former is None else former.version
    try:
        problems = document.find_problems(document.read(data))
    except error.ConfigurationError as failure:
        problems = [fleet.Finding("(whole)", failure.message, "")]
    if problems:
        refused = [
            lint.Finding(lint.Severity.ERROR, lint.INVALID, *item) for item in problems
        ]
        return inspection.Inspection(refused, revision)
    source = _make_source(data)
    findings = [source.translate(item) for item in lint.check(source.translated)]
    if former is None:
        return inspection.Inspection(findings)
    if source.version <= former.version:
        message = f"isn't above {former.version}, so a publish changes nothing"
        findings.append(
            lint.Finding(
                lint.Severity.WARNING, OLD_VERSION, "version", message, source.version
            )
        )
    changes = None
    if fleet.parse(source.translated)[0] is not None:
        changes = list_objects(former, source)
    return inspection.Inspection(findings, revision, changes)


def list_objects(old: Source, new: Source) -> list[effect.ObjectChange]:
    """Return the differences between two configurations by object."""
    objects: dict[str, list[effect.FieldChange]] = {}
    for changed in effect.list_objects(old.translated, new.translated):
        section = changed.source.partition(".")[0]
        name = changed.source[len(section) + 1 :]
        place = Place(section, name, "")
        fields = [_translate_field(place, each, old, new) for each in changed.fields]
        objects.setdefault(place.render_object(), []).extend(
            each for each in fields if each.values
        )
    return [effect.ObjectChange(*pair) for pair in objects.items() if pair[1]]


def _translate_field(
    place: Place, changed: effect.FieldChange, old: Source, new: Source
) -> effect.FieldChange:
    """Return a changed field with its values in the platform's form."""
    before, after = old.read_object(place), new.read_object(place)
    if before is None or after is None:
        # A tenant is a customer with its contract, and is listed once.
        values = [configuration.Change(place.render_object(), before, after)]
        is_whole = place.section != "contracts"
        return changed._replace(values=values if is_whole else [])
    differing = [
        name
        for name in FIELDS[place.section].get(changed.field, ())
        if before[name] != after[name]
    ]
    values = [
        change
        for name in differing
        for change in configuration.list_changes(
            before[name], after[name], f"{place.render_object()}.{name}"
        )
    ]
    return changed._replace(field=", ".join(differing), values=values)


def main(
    file: Annotated[Path, typer.Argument(help="The configuration's JSON file.")],
    in_force: Annotated[
        Path | None, typer.Option(help="The configuration to compare it with.")
    ] = None,
    strict: Annotated[
        bool, typer.Option("--strict", help="Exit with 5 if there are warnings only.")
    ] = False,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print JSON for scripts.")
    ] = False,
) -> None:
    """Check a configuration of the platform and say what it would change."""
    try:
        former = None if in_force is None else in_force.read_bytes()
        found = check(file.read_bytes(), former)
    except OSError as failure:
        typer.echo(f"error: {failure.filename}: {failure.strerror}", err=True)
        raise typer.Exit(operator.BAD_SETTINGS_EXIT) from None
    except error.SeamError as failure:
        raise typer.Exit(operator.report_error(failure)) from None
    inspection.write(found, file, as_json)
    inspection.exit_after(found, strict)


if __name__ == "__main__":
    typer.run(main)
