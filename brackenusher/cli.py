"""The command line of the reverse proxy for turn servers: serving, groups, policies, replicas and others."""

import argparse
import logging
import os
import sys
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path

from barleybarrow.interface import SettingsError
from barleybarrow.tokens import TokenError, issue
from brackenusher import __version__
from brackenusher.config.operators import (
    find_warnings,
    load_operator_settings,
    load_peers_settings,
    load_token_settings,
    read_subset,
)
from brackenusher.config.platform import ConfigError, load, reload_config
from brackenusher.daemon import Daemon
from brackenusher.records.replay import replay_capture
from brackenusher.runtime.log import TEXT_FORMAT, LogFormatError, set_format

LOG_LEVELS = ("debug", "info", "warning", "error")


def serve(options: argparse.Namespace) -> int:
    config, operator = load(os.environ), load_operator_settings(options.operator)
    logging.basicConfig(level=options.log_level.upper(), format=TEXT_FORMAT)
    try:
        set_format(operator.log_format)
    except LogFormatError as error:
        raise ConfigError(f"{options.operator}: log.format: {error}") from error
    try:
        return Daemon(config, partial(reload_config, os.environ), operator).run()
    except OSError as error:
        print(f"brackenusher: {error}", file=sys.stderr)
        return 1


def check_config(options: argparse.Namespace) -> int:
    config, operator = load(os.environ), load_operator_settings(options.operator)
    classes, hosts = len(config.settings.classes), len(config.known_servers.get("hosts") or [])
    print(
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, {classes} classes, {hosts} known"
    )
    if options.operator:
        print(f"{options.operator}: on: {', '.join(operator.features) or 'nothing'}")
    read_subset(operator, config.raw_settings)
    for doubt in find_warnings(operator, config.settings):
        print(f"{options.operator}: {doubt}")
    return 0


def run_replay(options: argparse.Namespace) -> int:
    return replay_capture(options.file, load_operator_settings(options.properties), sys.stdout)


def issue_token(options: argparse.Namespace) -> int:
    settings, expiry = load_token_settings(options.properties), int(time.time()) + options.ttl
    try:
        print(issue(settings, options.kid, options.holder, options.rights, expiry))
    except TokenError as error:
        raise ConfigError(f"{options.properties}: {error}") from error
    return 0


def show_knowledge(options: argparse.Namespace) -> int:
    try:
        from brackenusher.membership import show  # imports msgspec, an optional dependency
    except ImportError as error:
        needs = "knowledge needs the extra knowledge: pip install 'brackenusher[knowledge]'"
        raise ConfigError(f"{needs} ({error})") from error
    settings = load_peers_settings(options.properties) if options.properties else None
    if options.verb == "show":
        return show.show(options.source, settings, sys.stdout)
    return show.diff(options.source, options.other, settings, sys.stdout)


def run_policy(options: argparse.Namespace) -> int:
    try:
        from brackenusher.group import policies  # imports msgspec, an optional dependency
    except ImportError as error:
        needs = "policy needs the extra knowledge: pip install 'brackenusher[knowledge]'"
        raise ConfigError(f"{needs} ({error})") from error
    settings = load_peers_settings(options.properties) if options.verb != "check" else None
    try:
        return policies.run(options, settings, sys.stdout)
    except KeyboardInterrupt:
        return 130


def run_replica(options: argparse.Namespace) -> int:
    try:
        from brackenusher.group import replicas  # imports msgspec, an optional dependency
    except ImportError as error:
        needs = "replica needs the extra knowledge: pip install 'brackenusher[knowledge]'"
        raise ConfigError(f"{needs} ({error})") from error
    return replicas.run(options, load_peers_settings(options.properties), sys.stdout)


def run_group(options: argparse.Namespace) -> int:
    try:
        from brackenusher.group import recovery  # imports msgspec, an optional dependency
    except ImportError as error:
        needs = "group needs the extra knowledge: pip install 'brackenusher[knowledge]'"
        raise ConfigError(f"{needs} ({error})") from error
    return recovery.run(options, load_peers_settings, sys.stdout)


def add_group_commands(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Adds the commands on a whole group, including recovery after the permanent loss of a majority."""
    command = commands.add_parser("group", help="how a group stands; backups, and recovery by hand")
    verbs = command.add_subparsers(dest="verb", required=True, metavar="VERB")
    for verb, help_text in (
        ("status", "how proxies stand to each other; exit 1 where any is silent, behind or of another group"),
        ("backup", "copy a proxy's stores, running or not"),
        ("verify", "check stores and backups, and say what they hold; exit 1 where one is damaged"),
        ("recover", "a majority of the voters is gone for good: have one store go on; exit 3 refused"),
        ("restore", "put a backup in the place of a stopped proxy's stores; exit 3 refused"),
    ):
        command = verbs.add_parser(verb, help=help_text)
        if verb == "status":
            command.add_argument("addresses", nargs="+", metavar="ADDRESS", help="each proxy's peers.listen")
        if verb == "verify":
            command.add_argument("paths", nargs="+", metavar="PATH", type=Path, help="a store or a backup")
        else:
            command.add_argument("--properties", metavar="FILE", required=True, help="the operators' file")
        if verb in ("backup", "recover"):
            command.add_argument("--name", required=True, help="the proxy's, GW_NAME")
        if verb == "backup":
            command.add_argument("--to", required=True, metavar="FOLDER", type=Path, help="a new folder")
        if verb == "recover":
            command.add_argument("--without", required=True, metavar="NAMES", help="voters that are gone")
            command.add_argument(
                "--seen", action="append", default=[], metavar="NAME=FOLDER", help="another survivor's store"
            )
        if verb == "restore":
            command.add_argument("source", metavar="BACKUP", type=Path, help="the folder of a backup")
        if verb in ("recover", "restore"):
            command.add_argument("--i-know", action="store_true", help="claim what a refusal says")
        command.set_defaults(call=run_group)


def add_replica_commands(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Adds the commands on the replicated state of a group of proxies."""
    command = commands.add_parser("replica", help="mark servers, blocks and tenants; compare copies")
    verbs = command.add_subparsers(dest="verb", required=True, metavar="VERB")
    for verb, help_text in (
        ("mark", "take a server or block out of use, or stop a tenant; exit 0 acknowledged, 4 unknown"),
        ("clear", "take a mark back"),
        ("resolve", "end a conflict: the mark stands, over all that was said"),
        ("show", "the marks that a proxy holds"),
        ("conflicts", "those of which two words stand that knew nothing of each other; exit 1 if any"),
        ("verify", "how a proxy's copy stands to the others; exit 1 where it is behind or differs"),
        ("diff", "which marks only one of two proxies holds; exit 1 if any"),
    ):
        command = verbs.add_parser(verb, help=help_text)
        command.add_argument("address", metavar="ADDRESS", help="host:port of a proxy, its peers.listen")
        command.add_argument("--properties", metavar="FILE", required=True, help="the operators' file")
        if verb in ("mark", "clear", "resolve"):
            command.add_argument("kind", choices=("server", "block", "tenant"))
            command.add_argument("name")
        if verb == "mark":
            command.add_argument("--who", default=os.environ.get("USER", "staff"), help="(%(default)s)")
            command.add_argument("--why", default="")
            command.add_argument(
                "--for", dest="for_s", type=int, default=0, metavar="S", help="seconds; 0 until cleared"
            )
        if verb == "diff":
            command.add_argument("other", metavar="OTHER", help="another proxy's")
        command.set_defaults(call=run_replica)


def add_policy_commands(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Adds the commands on a group's policy."""
    command = commands.add_parser(
        "policy", help="propose, withdraw and show what a group of proxies agrees on"
    )
    verbs = command.add_subparsers(dest="verb", required=True, metavar="VERB")
    user = os.environ.get("USER", "staff")
    for verb, help_text in (
        ("check", "whether a document is a policy that this release can act upon"),
        ("propose", "propose a document; exit 0 in force, 3 withdrawn, 4 unknown"),
        ("status", "what is in force and on its way, and who is behind"),
        ("show", "print a version"),
        ("diff", "print where two versions differ"),
        ("withdraw", "withdraw what is on its way"),
        ("roll-back", "propose what an earlier version said"),
        ("history", "who changed what, when and why"),
        ("roster", "the proxies whose taking up is waited for, or drop one"),
        ("voters", "the proxies that vote, or have others vote; exit 0 once they do, 4 unknown"),
    ):
        command = verbs.add_parser(verb, help=help_text)
        if verb != "check":
            command.add_argument("address", metavar="ADDRESS", help="host:port of a proxy, its peers.listen")
            command.add_argument("--properties", metavar="FILE", required=True, help="the operators' file")
        if verb in ("check", "propose"):
            command.add_argument("file", help="a TOML document; - for standard input")
        if verb in ("show", "diff", "roll-back"):
            command.add_argument("number", type=int, nargs="?" if verb == "show" else None, default=0)
        if verb == "diff":
            command.add_argument("other", type=int)
        if verb == "roster":
            command.add_argument("--drop", metavar="NAME", help="one that is gone for good")
        if verb == "voters":
            command.add_argument("--set", metavar="NAMES", help="1 to 7 of the roster, commas between")
        if verb in ("propose", "roll-back", "withdraw", "roster", "voters"):
            command.add_argument("--who", default=user, help="for the history (%(default)s)")
        if verb == "voters":
            command.add_argument("--wait", type=float, default=30.0, metavar="S", help="(%(default)s)")
        if verb in ("propose", "roll-back"):
            command.add_argument("--why", default="", help="for the history")
            command.add_argument("--id", default="", help="proposing again with the same does it once")
            command.add_argument("--wait", type=float, default=30.0, metavar="S", help="(%(default)s)")
        command.set_defaults(call=run_policy)


def show_members(options: argparse.Namespace) -> int:
    try:
        from brackenusher.membership import members  # imports msgspec, an optional dependency
    except ImportError as error:
        needs = "members needs the extra knowledge: pip install 'brackenusher[knowledge]'"
        raise ConfigError(f"{needs} ({error})") from error
    try:
        return members.show(
            options.address, load_peers_settings(options.properties), sys.stdout, options.watch
        )
    except KeyboardInterrupt:
        return 130


def run_demo(options: argparse.Namespace) -> int:
    try:
        from testbed.sockets.demo import main as demo_main
    except ImportError as error:
        print(
            f"brackenusher: demo needs the extra testbed: pip install 'brackenusher[testbed]' ({error})",
            file=sys.stderr,
        )
        return 2
    return demo_main(options)


def print_version(options: argparse.Namespace) -> int:
    print(f"brackenusher {__version__}")
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="brackenusher", description="A reverse proxy for turn servers.")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    command = commands.add_parser("serve", help="serve until SIGTERM, as GW_CONFIG says")
    command.add_argument("--log-level", choices=LOG_LEVELS, default="info")
    command.add_argument(
        "--operator", metavar="FILE", help="the operators' file: features and their settings"
    )
    command.set_defaults(call=serve)
    command = commands.add_parser("check-config", help="read the configuration and say what it holds")
    command.add_argument("--operator", metavar="FILE", help="check this operators' file as well")
    command.set_defaults(call=check_config)
    command = commands.add_parser("capture", help="work with what capture wrote")
    verbs = command.add_subparsers(dest="verb", required=True, metavar="VERB")
    command = verbs.add_parser(
        "replay", help="feed a capture to the module; print each line on which it decides otherwise"
    )
    command.add_argument("file", help="what capture wrote, or standard error held; - for standard input")
    command.add_argument("properties", help="the operators' file")
    command.set_defaults(call=run_replay)
    command = commands.add_parser("token", help="work with tokens")
    verbs = command.add_subparsers(dest="verb", required=True, metavar="VERB")
    command = verbs.add_parser("issue", help="print a token")
    command.add_argument("--kid", required=True, help="the id of the key that signs it")
    command.add_argument("--holder", required=True)
    command.add_argument("--rights", required=True, help="read, submit or read+submit")
    command.add_argument("--ttl", required=True, type=int, help="seconds from now until it expires")
    command.add_argument("properties", help="the operators' file, with the key")
    command.set_defaults(call=issue_token)
    command = commands.add_parser("knowledge", help="print what a snapshot or a running proxy knows")
    verbs = command.add_subparsers(dest="verb", required=True, metavar="VERB")
    for verb, help_text in (("show", "print it, with ages and origins"), ("diff", "print where two differ")):
        command = verbs.add_parser(verb, help=help_text)
        command.add_argument("source", metavar="FILE|ADDRESS", help="a snapshot; with --properties host:port")
        if verb == "diff":
            command.add_argument("other", metavar="FILE|ADDRESS")
        command.add_argument("--properties", metavar="FILE", help="the operators' file, with the peers' keys")
        command.set_defaults(call=show_knowledge)
    add_policy_commands(commands)
    add_replica_commands(commands)
    add_group_commands(commands)
    command = commands.add_parser("members", help="who belongs to a group of proxies, and which links work")
    verbs = command.add_subparsers(dest="verb", required=True, metavar="VERB")
    command = verbs.add_parser("show", help="print it; exit 1 where not all agree and are in touch")
    command.add_argument("address", metavar="ADDRESS", help="host:port of a proxy, its peers.listen")
    command.add_argument(
        "--properties", metavar="FILE", required=True, help="the operators' file, with the peers' keys"
    )
    command.add_argument("--watch", action="store_true", help="print it again each second")
    command.set_defaults(call=show_members)
    command = commands.add_parser(
        "demo", help="play the main job on this machine: emulated servers and clients"
    )
    command.add_argument("--seconds", type=float, metavar="N", help="of load, 20 where left out")
    command.add_argument("--report", metavar="FILE", help="where to write the report")
    command.add_argument("--scenario", metavar="NAME", help="one of the testbed's scenarios, or a file")
    command.set_defaults(call=run_demo)
    command = commands.add_parser("version", help="print the version")
    command.set_defaults(call=print_version)
    options = parser.parse_args(arguments)
    try:
        return options.call(options)
    except (ConfigError, SettingsError) as error:
        print(f"brackenusher: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
