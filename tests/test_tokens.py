"""Tokens: their verification, the command that issues them, and the program's answers over sockets."""

import time

import pytest
from helpers import Program, TurnServer, command, read_request, submit_request, write_config

from barleybarrow.tokens import TokenError, TokenSettings, issue, rejection_reason, sign
from brackenusher.config.operators import load_operator_settings, parse_operator_settings
from brackenusher.config.platform import ConfigError

KEYS = TokenSettings({"k1": b"old" * 8, "k2": b"new" * 8}, 30.0)
NOW = 1767225600


def make_token(rights="read+submit", kid="k2", expiry=NOW, holder="p77"):
    return issue(KEYS, kid, holder, rights, expiry).encode()


def test_token_is_valid_until_expiry_plus_skew_under_each_key():
    assert (
        make_token().startswith(b"k2.p77.read+submit.1767225600.")
        and len(make_token().rpartition(b".")[2]) == 43
    )
    for token in (make_token(), make_token(kid="k1"), make_token("submit")):
        assert rejection_reason(KEYS, token, "submit", NOW + 30.0) == ""
        assert rejection_reason(KEYS, token, "submit", NOW + 30.5) == "expired"
    assert (
        rejection_reason(TokenSettings({"k2": KEYS.keys["k2"]}), make_token(kid="k1"), "read", NOW)
        == "forged"
    )
    assert (
        rejection_reason(KEYS, make_token("read"), "submit", NOW)
        == rejection_reason(KEYS, make_token("submit"), "read", NOW)
        == "rights"
    )


def test_altered_or_malformed_tokens_are_rejected_as_forged():
    # guards against a field that the MAC does not cover, and against using fields before it is verified
    token = make_token(expiry=NOW - 100)
    for place in range(len(token)):
        changed = token[:place] + (b"A" if token[place : place + 1] != b"A" else b"B") + token[place + 1 :]
        assert rejection_reason(KEYS, changed, "read", NOW) == "forged"
    fields = token.rpartition(b".")[0]
    odd = [
        token + b"=",
        token + b".",
        b"." + token,
        token[:-1],
        fields,
        b"....",
        b"x",
        b"\xff" * 300,
        b"k2..read.1.x",
    ]
    odd += [
        fields + b"." + sign(b"", fields),
        fields + b".\xc3\xa9" + b"x" * 41,
        fields.replace(b"-", b"") + b"." * 9,
    ]
    odd.append(b"k2.p77.read.-5." + sign(KEYS.keys["k2"], b"k2.p77.read.-5"))
    assert {rejection_reason(KEYS, each, "read", NOW) for each in odd} == {"forged"}
    assert rejection_reason(KEYS, None, "read", NOW) == rejection_reason(KEYS, b"", "read", NOW) == "missing"


@pytest.mark.parametrize(
    ("kid", "holder", "rights"),
    [
        ("k3", "p77", "read"),
        ("k2", "p.77", "read"),
        ("k2", "", "read"),
        ("k2", "p", "write"),
        ("k2", "p", "read+"),
    ],
)
def test_tokens_with_invalid_fields_are_not_issued(kid, holder, rights):
    with pytest.raises(TokenError):
        issue(KEYS, kid, holder, rights, NOW)


def test_keys_have_no_default_and_are_not_printed():
    on = "token.enabled = true\n"
    bad = [
        on,
        on + "token.key.k2 = 1f2",
        on + "token.key.a.b = 1f",
        on + "token.key.k2 = 1f\ntoken.skew = -1",
    ]
    for text, named in zip(bad, ["token.key", "token.key.k2", "token.key.a.b", "token.skew"], strict=True):
        with pytest.raises(ConfigError) as caught:
            parse_operator_settings("f", text)
        assert named in str(caught.value) and "1f2" not in str(caught.value)
    operator = parse_operator_settings("f", on + "token.key.k2 = 6b6579\n")
    assert operator.token.keys == {"k2": b"key"} and "key'" not in repr(operator)
    assert load_operator_settings("deploy/operator.properties").token is None


def run_issue(properties, kid="k2", rights="read", ttl="3600"):
    wanted = ["--kid", kid, "--holder", "p77", "--rights", rights, "--ttl", ttl]
    return command("token", "issue", *wanted, str(properties))


def test_program_checks_issued_expired_and_forged_tokens_and_removed_keys(tmp_path):
    both = "token.enabled = true\ntoken.key.k1 = 6f6c64206f6c64206f6c64206f6c6420\n"
    both += "token.key.k2 = 6e6577206e6577206e6577206e657720\n"
    properties = tmp_path / "issuing.properties"
    properties.write_text(both, encoding="utf-8")
    tokens = {kid: run_issue(properties, kid, "read+submit").stdout.strip() for kid in ("k1", "k2")}
    reads, old = (
        run_issue(properties).stdout.strip(),
        run_issue(properties, ttl="-31").stdout.strip(),
    )
    assert run_issue(properties, "k3").returncode == 2 and run_issue(properties, "k3").stderr.count("\n") == 1

    def ask(program, token, request=read_request):
        extra = "" if token is None else f"Adw-Token: {token}\r\n"
        status, headers, _ = program.ask(request(time.monotonic_ns(), extra=extra))
        return status, headers.get("adw-auth")

    door = "door.enabled = true\ndoor.rate.kente-wars = 0.001\ndoor.burst.kente-wars = 5\n"
    with Program(tmp_path, TurnServer(), operator=both + door + "capture.enabled = true\n") as program:
        assert ask(program, tokens["k1"]) == ask(program, tokens["k2"]) == (200, None)
        assert ask(program, reads) == ask(program, tokens["k2"], submit_request) == (200, None)
        assert ask(program, None) == (401, "missing") and ask(program, old) == (401, "expired")
        assert ask(program, reads, submit_request) == (403, "rights")
        assert ask(program, tokens["k2"].replace("p77", "p78")) == (403, "forged")
        for _ in range(9):  # a forged owner does not drain the bucket of the real one
            assert ask(program, "x") == (403, "forged")
        assert ask(program, f"{reads}\r\nAdw-Token: {reads}") == (400, None)
        assert ask(program, reads) == (200, None) and ask(program, reads) == (429, None)
        assert len(program.servers[0].requests) == 5 and program.ready()
        program.process.terminate()
        program.process.wait(20)
        assert " token forged rejected " in program.log and " token missing rejected " in program.log
        assert "p77." not in program.log and reads.rpartition(".")[2] not in program.log
    with Program(tmp_path, TurnServer(), operator=both.replace("token.key.k1", "# ")) as program:
        assert ask(program, tokens["k1"]) == (403, "forged") and ask(program, tokens["k2"]) == (200, None)


def test_token_headers_are_forwarded_when_the_feature_is_off(tmp_path):
    twice = "Adw-Token: x\r\nAdw-Token: y\r\n"
    with Program(tmp_path, TurnServer(), operator="token.key.k2 = 00\n") as program:
        assert [program.ask(read_request(n, extra=extra))[0] for n, extra in enumerate(("", twice))] == [
            200,
            200,
        ]
        assert program.servers[0].requests[1][1]["adw-token"] == "y"


def test_check_config_names_a_short_key(tmp_path):
    properties = tmp_path / "operator.properties"
    properties.write_text("token.enabled = true\ntoken.key.k2 = 00\n", encoding="utf-8")
    done = command("check-config", "--operator", str(properties), GW_CONFIG=write_config(tmp_path))
    assert done.returncode == 0 and "the key k2 is short" in done.stdout
