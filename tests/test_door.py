"""Door limits: the buckets by themselves, the operators' file, and the program's answers on sockets."""

import subprocess
import sys
import time
from collections import Counter

import pytest
from helpers import ROOT, Program, TurnServer, command, read_request, write_config

from barleybarrow.rate_limiter import CLOSED_WAIT, Limit, RateLimiter, RateLimiterSettings
from brackenusher.config.operators import Operator, load_operator, read_operator
from brackenusher.config.platform import ConfigError
from brackenusher.core.admission import name_of


def test_who_comes_back_after_the_wait_is_let_in_and_a_refusal_is_not_charged():
    # guards against a wait rounded down, or lost to the clock's fractions: the client would be refused again
    for rate in (0.7, 3.0, 119.9, 500.0, 1000.0, 7001.0):
        door, now = (
            RateLimiter(RateLimiterSettings(tenant=Limit(rate, 2))),
            1e10 + 0.789,
        )  # up for four months
        for _ in range(200):
            while not (wait := door.ask("a", now)):
                now += 0.013
            assert all(door.ask("a", now) == wait for _ in range(3))
            now += wait
            assert door.ask("a", now) == 0.0


def test_a_bucket_holds_its_burst_and_no_more_and_each_tenant_has_its_own():
    door = RateLimiter(RateLimiterSettings(tenants={"a": Limit(10.0, 3)}))
    assert [door.ask("a", 1e9) for _ in range(4)] == [0.0, 0.0, 0.0, 100.0]
    assert sum(door.ask("oware-duel", 1e9) == 0.0 for _ in range(500)) == 400


def test_a_rate_of_0_refuses_even_the_first_and_says_when_to_ask_again():
    assert (
        RateLimiter(RateLimiterSettings(tenants={"a": Limit(0.0, 3)})).ask("a", 0.0)
        == CLOSED_WAIT
        < float("inf")
    )


def test_the_table_is_bounded_and_forgets_who_was_idle_longest():
    # guards against a flood that is refused being forgotten, and let in again, while newcomers pass
    door = RateLimiter(RateLimiterSettings(by_address=True, address=Limit(1.0, 1), table=3))
    assert not any(door.ask(a, 0.0) for a in "abc")
    assert door.ask("a", 0.0) > 0 and door.ask("d" * 99, 0.0) == 0
    assert list(door.buckets) == ["c", "a", "d" * 64]


BAD = [
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


@pytest.mark.parametrize(("text", "named"), BAD)
def test_what_is_wrong_in_the_operators_file_is_named(text, named):
    with pytest.raises(ConfigError) as caught:
        read_operator("f", text)
    assert named in str(caught.value)


def test_the_file_is_read_into_settings_and_the_repositorys_holds_no_secret():
    text = "door.enabled: true\ndoor.rate.address=2.5\ndoor.rate.a 7\n! note\ndoor.burst.b = 9\n"
    door = read_operator("f", text).door
    assert (door.address, door.tenants) == (Limit(2.5, 40), {"a": Limit(7.0, 400), "b": Limit(200.0, 9)})
    assert read_operator("f", text.replace("true", "false")) == load_operator(None) == Operator()
    shipped = load_operator(str(ROOT / "deploy/operator.properties"))
    assert shipped.features == ["capture", "figures"]


def test_check_config_says_what_is_on_and_what_has_no_effect_and_ends_with_2_on_a_bad_file(tmp_path):
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


def test_a_flood_gets_429_with_decimal_waits_and_reaches_no_turn_server(tmp_path):
    # guards against one app's loop starving the others: what is over the limit goes no further than the door
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


def test_by_address_all_owners_of_one_address_share_a_bucket(tmp_path):
    text = "door.enabled = true\ndoor.key = address\ndoor.rate.address = 0.001\ndoor.burst.address = 2\n"
    with Program(tmp_path, TurnServer(), operator=text) as program:
        anonymous = read_request(2).replace(b"Req-Owner: kente-wars\r\n", b"")
        asked = [read_request(0), anonymous, read_request(3)]
        assert [program.ask(data)[0] for data in asked] == [200, 200, 429]
        assert program.ask(read_request(4, "/nowhere"))[0] == 404


def test_without_the_file_nothing_is_limited_written_or_loaded(tmp_path):
    # guards against a feature that shows where nobody asked for it, and against the cost of reading no file
    with Program(tmp_path, TurnServer()) as program, program.connect() as sock:
        assert {program.ask(read_request(n), sock)[0] for n in range(450)} == {200}
        twice = "Adw-Token: x\r\nAdw-Token: y\r\n"
        assert program.ask(read_request(451, extra=twice), sock)[0] == 200
        assert program.log.count("\n") == 1
    check = "import sys, brackenusher.cli; sys.exit('javaproperties' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", check], cwd=ROOT, check=False).returncode == 0


def test_a_key_at_the_door_is_no_longer_than_it_counts():
    # guards against records that grow with an owner's name where the settings name no tenants
    assert name_of(b"x" * 300) == "x" * 64 and name_of(None) == ""
