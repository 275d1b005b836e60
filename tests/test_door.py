"""Rate limiter: its buckets, its settings in the operators' file, and the program's answers over sockets."""

import subprocess
import sys
import time
from collections import Counter

import pytest
from helpers import ROOT, Program, TurnServer, command, read_request, write_config

from barleybarrow.rate_limiter import ZERO_RATE_WAIT_MS, RateLimit, RateLimiter, RateLimiterSettings
from brackenusher.config.operators import OperatorSettings, load_operator_settings, parse_operator_settings
from brackenusher.config.platform import ConfigError
from brackenusher.core.admission import rate_limit_key


def test_client_is_admitted_after_the_wait_and_rejections_are_not_charged():
    # guards against a wait rounded down or off by clock rounding, after which the client is refused again
    for rate in (0.7, 3.0, 119.9, 500.0, 1000.0, 7001.0):
        limiter, now = (
            RateLimiter(RateLimiterSettings(tenant=RateLimit(rate, 2))),
            1e10 + 0.789,
        )  # uptime of four months
        for _ in range(200):
            while not (wait := limiter.acquire("a", now)):
                now += 0.013
            assert all(limiter.acquire("a", now) == wait for _ in range(3))
            now += wait
            assert limiter.acquire("a", now) == 0.0


def test_buckets_are_per_tenant_and_hold_one_burst():
    limiter = RateLimiter(RateLimiterSettings(tenants={"a": RateLimit(10.0, 3)}))
    assert [limiter.acquire("a", 1e9) for _ in range(4)] == [0.0, 0.0, 0.0, 100.0]
    assert sum(limiter.acquire("oware-duel", 1e9) == 0.0 for _ in range(500)) == 400


def test_rate_of_0_rejects_the_first_request_with_a_finite_wait():
    assert (
        RateLimiter(RateLimiterSettings(tenants={"a": RateLimit(0.0, 3)})).acquire("a", 0.0)
        == ZERO_RATE_WAIT_MS
        < float("inf")
    )


def test_table_is_bounded_and_evicts_the_least_recently_used():
    # guards against evicting the bucket of a rejected flood, which would admit it again
    limiter = RateLimiter(RateLimiterSettings(by_address=True, address=RateLimit(1.0, 1), max_buckets=3))
    assert not any(limiter.acquire(a, 0.0) for a in "abc")
    assert limiter.acquire("a", 0.0) > 0 and limiter.acquire("d" * 99, 0.0) == 0
    assert list(limiter.buckets) == ["c", "a", "d" * 64]


INVALID_ENTRIES = [
    ("door.colour = red", "door.colour"),
    ("door.table = 5\ndoor.table = 6", "door.table"),
    ("door.table = 0", "door.table"),
    ("door.table = ten", "door.table"),
    ("door.enabled = yes", "door.enabled"),
    ("door.key = owner", "door.key"),
    ("door.rate.a = -1", "door.rate.a"),
    ("door.rate.a = nan", "door.rate.a"),
    ("door.burst.address = 0", "door.burst.address"),
    ("door.rate. = 1", "door.rate."),
    ("a = \\u00zz", "00zz"),
]


@pytest.mark.parametrize(("text", "named"), INVALID_ENTRIES)
def test_invalid_entry_of_the_operators_file_is_named(text, named):
    with pytest.raises(ConfigError) as caught:
        parse_operator_settings("f", text)
    assert named in str(caught.value)


def test_operators_file_is_read_and_the_shipped_one_enables_no_secrets():
    text = "door.enabled: true\ndoor.rate.address=2.5\ndoor.rate.a 7\n! note\ndoor.burst.b = 9\n"
    door = parse_operator_settings("f", text).door
    assert (door.address, door.tenants) == (
        RateLimit(2.5, 40),
        {"a": RateLimit(7.0, 400), "b": RateLimit(200.0, 9)},
    )
    assert (
        parse_operator_settings("f", text.replace("true", "false"))
        == load_operator_settings(None)
        == OperatorSettings()
    )
    shipped = load_operator_settings(str(ROOT / "deploy/operator.properties"))
    assert shipped.features == ["capture", "figures"]


def test_check_config_reports_features_and_fails_on_an_invalid_file(tmp_path):
    config, operator = write_config(tmp_path), tmp_path / "operator.properties"
    operator.write_text("door.enabled = true\ndoor.rate.kente-warz = 5\n", encoding="utf-8")
    done = command("check-config", "--operator", str(operator), GW_CONFIG=config)
    assert done.returncode == 0 and "on: door" in done.stdout and "no tenant kente-warz" in done.stdout
    for bad in ("door.tables = 5", "door.key = \\u12"):
        operator.write_text(bad, encoding="utf-8")
        for verb in ("serve", "check-config"):
            done = command(verb, "--operator", str(operator), GW_CONFIG=config)
            assert (done.returncode, done.stderr.count("\n")) == (2, 1), done.stderr
    assert command("serve", "--operator", str(tmp_path / "none"), GW_CONFIG=config).returncode == 2


def test_flood_gets_429_with_decimal_waits_and_reaches_no_server(tmp_path):
    # guards against one client's loop starving the others: requests over the limit must reach no server
    text = "door.enabled = true\ndoor.rate.kente-wars = 1\ndoor.burst.kente-wars = 100\n"
    with Program(tmp_path, TurnServer(), operator=text) as program, program.connect() as sock:
        began = time.monotonic()
        answers = [program.ask(read_request(n), sock) for n in range(500)]
        count = Counter(status for status, *_ in answers)
        assert 100 <= count[200] <= 101 + (time.monotonic() - began) and count[200] + count[429] == 500
        waits = [headers["retry-after"] for status, headers, _ in answers if status == 429]
        assert all("." in wait and 0 < float(wait) <= 1.0 for wait in waits)
        assert len(program.servers[0].requests) == count[200]
        other = read_request(501).replace(b"Req-Owner: kente-wars\r\n", b"")
        assert program.ask(other, sock)[0] == 200 and program.ready()
        time.sleep(float(waits[-1]) + 1.0)
        assert program.ask(read_request(502), sock)[0] == 200


def test_by_address_all_owners_share_the_bucket_of_their_address(tmp_path):
    text = "door.enabled = true\ndoor.key = address\ndoor.rate.address = 0.001\ndoor.burst.address = 2\n"
    with Program(tmp_path, TurnServer(), operator=text) as program:
        anonymous = read_request(2).replace(b"Req-Owner: kente-wars\r\n", b"")
        asked = [read_request(0), anonymous, read_request(3)]
        assert [program.ask(data)[0] for data in asked] == [200, 200, 429]
        assert program.ask(read_request(4, "/nowhere"))[0] == 404


def test_without_the_file_nothing_is_limited_logged_or_imported(tmp_path):
    # guards against effects of a feature that is not configured, and against the cost of an unused parser
    with Program(tmp_path, TurnServer()) as program, program.connect() as sock:
        assert {program.ask(read_request(n), sock)[0] for n in range(450)} == {200}
        twice = "Adw-Token: x\r\nAdw-Token: y\r\n"
        assert program.ask(read_request(451, extra=twice), sock)[0] == 200
        assert program.log.count("\n") == 1
    check = "import sys, brackenusher.cli; sys.exit('javaproperties' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", check], cwd=ROOT, check=False).returncode == 0


def test_rate_limit_key_is_truncated():
    # guards against capture records that grow with the name of an owner when no tenants are configured
    assert rate_limit_key(b"x" * 300) == "x" * 64 and rate_limit_key(None) == ""
