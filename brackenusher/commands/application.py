"""The operator's commands. Never imported by a role: typer is slow to import."""

import json
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any

import typer
from returns.result import Failure, Result, Success

from brackenusher.commands.client import ControlClient, ControlResponse
from brackenusher.commands.difference import differences
from brackenusher.commands.errors import CommandError, ExitCode
from brackenusher.commands.printing import as_json, as_text, with_utc_times
from brackenusher.settings.local import LocalSettings
from brackenusher.settings.reading import (
    DEFAULT_SETTINGS_PATH,
    SETTINGS_ENV_VAR,
    SettingsError,
    load_settings,
)

CONTROL_ENV_VAR = "BRACKENUSHER_CONTROL"

ControlOption = Annotated[
    list[str] | None,
    typer.Option(
        "--control", metavar="IP:PORT", help=f"A control process (or {CONTROL_ENV_VAR}); repeatable."
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON document.")]
BaseOption = Annotated[
    int | None,
    typer.Option(
        "--base", min=0, help="The version it builds on, 0 for the first; left out: the current one."
    ),
]
DocumentArgument = Annotated[Path, typer.Argument(metavar="FILE", help="A JSON file.")]

app = typer.Typer(name="brackenusher", no_args_is_help=True, add_completion=False, rich_markup_mode=None)
config_app = typer.Typer(no_args_is_help=True, help="The configuration: read, change and compare it.")
app.add_typer(config_app, name="config")


def run_command(arguments: Sequence[str]) -> int:
    """Runs a command and returns its exit code. An error is one line on standard error."""
    command = typer.main.get_command(app)
    try:
        exit_code = command.main(list(arguments), prog_name="brackenusher", standalone_mode=False)
    except CommandError as error:
        return _fail(str(error), error.exit_code)
    except typer.TyperException as error:
        return _fail(f"{error.format_message()} Try --help.", ExitCode.USAGE)
    except typer.Abort:
        return _fail("interrupted: start the command again", ExitCode.REFUSED)
    return int(exit_code or 0)


def _fail(message: str, exit_code: ExitCode) -> int:
    print(f"brackenusher: {' '.join(message.split())}", file=sys.stderr)
    return int(exit_code)


# Shared by the commands


def _control_client(control: list[str] | None) -> ControlClient:
    """Returns a client for the addresses of the option, the environment or else the settings file."""
    addresses = control or os.environ.get(CONTROL_ENV_VAR, "").replace(",", " ").split()
    if addresses:
        return ControlClient(addresses)
    match load_settings(os.environ.get(SETTINGS_ENV_VAR, DEFAULT_SETTINGS_PATH)):
        case Success(settings):
            own = [settings.listen.control] if settings.listen.control else []
            return ControlClient(own + [seed for seed in settings.seed_nodes if seed not in own])
    raise CommandError(ExitCode.USAGE, "no control process is known: name one with --control IP:PORT")


def _print_document(document: object, as_document: bool) -> None:
    typer.echo(as_json(document) if as_document else as_text(document))


def _fetch_status(topic: str, control: list[str] | None) -> Any:
    response = _control_client(control).get(f"/-/status/{topic}")
    if response.status != 200:
        raise CommandError(ExitCode.REFUSED, response.error_message())
    return response.document()


def _print_status(topic: str, control: list[str] | None, as_document: bool) -> None:
    _print_document(_fetch_status(topic, control), as_document)


def _fetch_configuration(client: ControlClient) -> dict[str, Any]:
    response = client.get("/-/Config.Get")
    document = response.document() if response.status == 200 else None
    if not isinstance(document, dict):
        raise CommandError(ExitCode.REFUSED, response.error_message())
    return document


def _load_document(path: Path) -> tuple[bytes, dict[str, Any]]:
    """Reads a file; returns its bytes and the JSON object in it."""
    try:
        body = path.read_bytes()
        document = json.loads(body)
    except OSError as error:
        raise CommandError(ExitCode.USAGE, f"{path}: {error.strerror}: name a readable file") from None
    except ValueError as error:
        raise CommandError(ExitCode.USAGE, f"{path} is not JSON ({error}): mend it") from None
    if not isinstance(document, dict):
        raise CommandError(ExitCode.USAGE, f"{path} is not a JSON object: write one")
    return body, document


# Queries


@app.command()
def status(control: ControlOption = None, as_document: JsonOption = False) -> None:
    """How the fleet stands: versions, leader, voters, servers, proxies."""
    _print_status("summary", control, as_document)


@app.command()
def members(control: ControlOption = None, as_document: JsonOption = False) -> None:
    """The processes of the fleet and who is suspected to be down."""
    _print_status("members", control, as_document)


@app.command()
def servers(control: ControlOption = None, as_document: JsonOption = False) -> None:
    """The model servers that are known, with their state."""
    _print_status("servers", control, as_document)


@app.command()
def explain(request_id: str, control: ControlOption = None, as_document: JsonOption = False) -> None:
    """What became of a request, by the id that its client gave it."""
    from urllib.parse import quote

    _print_status(f"explain/{quote(request_id, safe='')}", control, as_document)


@app.command("check-settings")
def check_settings(
    path: Annotated[Path | None, typer.Argument(metavar="FILE")] = None, as_document: JsonOption = False
) -> None:
    """Read a settings file and say what it holds; exit 2 where it can't be used."""
    settings_path = str(path or os.environ.get(SETTINGS_ENV_VAR, DEFAULT_SETTINGS_PATH))
    settings = _settings_or_fail(load_settings(settings_path))
    _print_document(_settings_summary(settings), as_document)


def _settings_or_fail(result: Result[LocalSettings, SettingsError]) -> LocalSettings:
    match result:
        case Success(settings):
            return settings
        case Failure(error):
            raise CommandError(ExitCode.USAGE, str(error))
    raise AssertionError("a result is a success or a failure")


def _settings_summary(settings: LocalSettings) -> dict[str, object]:
    listen = settings.listen
    return {
        "node": settings.node_name,
        "role": settings.role,
        "zone": settings.zone,
        "front": listen.front,
        "ready": listen.ready,
        "control": listen.control,
        "internal": f"{settings.ip}:{settings.internal_port_range[0]}-{settings.internal_port_range[1]}",
        "seeds": settings.seed_nodes,
        "disk": settings.data_dir,
        "counts_for_quorum": settings.counts_for_quorum,
    }


# Configuration


@config_app.command("get")
def config_get(control: ControlOption = None) -> None:
    """Print the configuration that is in force, whole, as JSON."""
    typer.echo(as_json(_fetch_configuration(_control_client(control))))


@config_app.command("put")
def config_put(
    path: DocumentArgument,
    base: BaseOption = None,
    control: ControlOption = None,
    as_document: JsonOption = False,
) -> None:
    """Put a whole configuration in force."""
    _submit_order("Config.Replace", path, base, control, as_document)


@config_app.command("patch")
def config_patch(
    path: DocumentArgument,
    base: BaseOption = None,
    control: ControlOption = None,
    as_document: JsonOption = False,
) -> None:
    """Change named items: the file has Generation, Upsert and Remove."""
    _submit_order("Config.Patch", path, base, control, as_document)


def _submit_order(
    operation: str, path: Path, base: int | None, control: list[str] | None, as_document: bool
) -> None:
    body, document = _load_document(path)
    client = _control_client(control)
    base_version = int(_fetch_configuration(client).get("Generation", 0)) if base is None else base
    response = client.submit_order(operation, base_version, body)
    if response.status != 200:
        raise _rejection_error(response)
    _print_document({"taken": document.get("Generation"), "base": base_version}, as_document)


def _rejection_error(response: ControlResponse) -> CommandError:
    code = ExitCode.CONFLICT if response.status in (409, 412) else ExitCode.REFUSED
    return CommandError(code, response.error_message())


@config_app.command("diff")
def config_diff(
    path: DocumentArgument, control: ControlOption = None, as_document: JsonOption = False
) -> None:
    """What a whole configuration would change; exit 1 where it would change anything."""
    _, document = _load_document(path)
    changes = differences(_fetch_configuration(_control_client(control)), document)
    if as_document:
        listed = [{"sign": c.sign, "item": c.item, "fields": list(c.fields)} for c in changes]
        typer.echo(as_json(listed))
    else:
        typer.echo("\n".join(map(str, changes)) or "no differences")
    raise typer.Exit(ExitCode.REFUSED if changes else ExitCode.OK)


@config_app.command("history")
def config_history(control: ControlOption = None, as_document: JsonOption = False) -> None:
    """The versions that were taken, the newest last."""
    history = _fetch_status("history", control)
    _print_document(
        history if as_document or not isinstance(history, list) else with_utc_times(history), as_document
    )
