"""The operator's commands. Imported for them only, never by a role: typer takes a while to import."""

import json
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any

import typer
from returns.result import Failure, Result, Success

from brackenusher.commands.client import Answer, ControlClient
from brackenusher.commands.difference import differences
from brackenusher.commands.errors import CommandError, ExitCode
from brackenusher.commands.printing import as_json, as_text, with_times
from brackenusher.settings.local import LocalSettings
from brackenusher.settings.reading import DEFAULT_PATH, SETTINGS_VARIABLE, SettingsError, load_settings

CONTROL_VARIABLE = "BRACKENUSHER_CONTROL"

Control = Annotated[
    list[str] | None,
    typer.Option(
        "--control", metavar="IP:PORT", help=f"A control process (or {CONTROL_VARIABLE}); repeatable."
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print one JSON document.")]
Base = Annotated[
    int | None,
    typer.Option(
        "--base", min=0, help="The version it builds on, 0 for the first; left out: the current one."
    ),
]
Document = Annotated[Path, typer.Argument(metavar="FILE", help="A JSON file.")]

app = typer.Typer(name="brackenusher", no_args_is_help=True, add_completion=False, rich_markup_mode=None)
config = typer.Typer(no_args_is_help=True, help="The configuration: read, change and compare it.")
app.add_typer(config, name="config")


def run_command(arguments: Sequence[str]) -> int:
    """Run a command; the exit code. Errors are one line on standard error."""
    command = typer.main.get_command(app)
    try:
        outcome = command.main(list(arguments), prog_name="brackenusher", standalone_mode=False)
    except CommandError as error:
        return _fail(str(error), error.exit_code)
    except typer.TyperException as error:
        return _fail(f"{error.format_message()} Try --help.", ExitCode.USAGE)
    except typer.Abort:
        return _fail("interrupted: start the command again", ExitCode.REFUSED)
    return int(outcome or 0)


def _fail(message: str, exit_code: ExitCode) -> int:
    print(f"brackenusher: {' '.join(message.split())}", file=sys.stderr)
    return int(exit_code)


# What the commands share


def _client(control: list[str] | None) -> ControlClient:
    """A client for the addresses that are named, in the environment or in the settings file."""
    named = control or os.environ.get(CONTROL_VARIABLE, "").replace(",", " ").split()
    if named:
        return ControlClient(named)
    match load_settings(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)):
        case Success(settings):
            own = [settings.listen.control] if settings.listen.control else []
            return ControlClient(own + [seed for seed in settings.seed_nodes if seed not in own])
    raise CommandError(ExitCode.USAGE, "no control process is known: name one with --control IP:PORT")


def _show(document: object, as_document: bool) -> None:
    typer.echo(as_json(document) if as_document else as_text(document))


def _topic(topic: str, control: list[str] | None) -> Any:
    answer = _client(control).get(f"/-/status/{topic}")
    if answer.status != 200:
        raise CommandError(ExitCode.REFUSED, answer.error())
    return answer.document()


def _show_topic(topic: str, control: list[str] | None, as_document: bool) -> None:
    _show(_topic(topic, control), as_document)


def _current(client: ControlClient) -> dict[str, Any]:
    answer = client.get("/-/Config.Get")
    document = answer.document() if answer.status == 200 else None
    if not isinstance(document, dict):
        raise CommandError(ExitCode.REFUSED, answer.error())
    return document


def _read_document(path: Path) -> tuple[bytes, dict[str, Any]]:
    """The bytes of a file and the JSON object in it."""
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


# Looking


@app.command()
def status(control: Control = None, as_document: Json = False) -> None:
    """How the fleet stands: versions, leader, voters, servers, proxies."""
    _show_topic("summary", control, as_document)


@app.command()
def members(control: Control = None, as_document: Json = False) -> None:
    """The processes of the fleet and who is suspected to be down."""
    _show_topic("members", control, as_document)


@app.command()
def servers(control: Control = None, as_document: Json = False) -> None:
    """The model servers that are known, with their state."""
    _show_topic("servers", control, as_document)


@app.command()
def explain(request_id: str, control: Control = None, as_document: Json = False) -> None:
    """What became of a request, by the id that its client gave it."""
    from urllib.parse import quote

    _show_topic(f"explain/{quote(request_id, safe='')}", control, as_document)


@app.command("check-settings")
def check_settings(
    path: Annotated[Path | None, typer.Argument(metavar="FILE")] = None, as_document: Json = False
) -> None:
    """Read a settings file and say what it holds; exit 2 where it can't be used."""
    chosen = str(path or os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    settings = _settings_or_fail(load_settings(chosen))
    _show(_settings_summary(settings), as_document)


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


# The configuration


@config.command("get")
def config_get(control: Control = None) -> None:
    """Print the configuration that is in force, whole, as JSON."""
    typer.echo(as_json(_current(_client(control))))


@config.command("put")
def config_put(path: Document, base: Base = None, control: Control = None, as_document: Json = False) -> None:
    """Put a whole configuration in force."""
    _order("Config.Replace", path, base, control, as_document)


@config.command("patch")
def config_patch(
    path: Document, base: Base = None, control: Control = None, as_document: Json = False
) -> None:
    """Change named items: the file has Generation, Upsert and Remove."""
    _order("Config.Patch", path, base, control, as_document)


def _order(call: str, path: Path, base: int | None, control: list[str] | None, as_document: bool) -> None:
    body, document = _read_document(path)
    client = _client(control)
    base_version = int(_current(client).get("Generation", 0)) if base is None else base
    answer = client.order(call, base_version, body)
    if answer.status != 200:
        raise _order_error(answer)
    _show({"taken": document.get("Generation"), "base": base_version}, as_document)


def _order_error(answer: Answer) -> CommandError:
    code = ExitCode.CONFLICT if answer.status in (409, 412) else ExitCode.REFUSED
    return CommandError(code, answer.error())


@config.command("diff")
def config_diff(path: Document, control: Control = None, as_document: Json = False) -> None:
    """What a whole configuration would change; exit 1 where it would change anything."""
    _, document = _read_document(path)
    changes = differences(_current(_client(control)), document)
    if as_document:
        listed = [{"sign": c.sign, "item": c.item, "fields": list(c.fields)} for c in changes]
        typer.echo(as_json(listed))
    else:
        typer.echo("\n".join(map(str, changes)) or "no differences")
    raise typer.Exit(ExitCode.REFUSED if changes else ExitCode.OK)


@config.command("history")
def config_history(control: Control = None, as_document: Json = False) -> None:
    """The versions that were taken, the newest last."""
    taken = _topic("history", control)
    _show(taken if as_document or not isinstance(taken, list) else with_times(taken), as_document)
