"""Scenarios are checked, differences are what the textbook says, and the page stands by itself."""

import re
import runpy

import msgspec
import pytest

from barleybarrow.settings import read_settings
from testbed import experiments, reference, results, scenario
from testbed.cli import main
from testbed.policies import POLICIES
from testbed.results import Acted, Breach, Result, Series, Tally

DOCS = scenario.Path(__file__).parent.parent / "docs"


def made_up(policy="module", seed=1, goodput=0.9, name="made-up", servers=3, breached=False):
    """A result such as a world might give, of ten seconds."""
    latency = results.histogram()
    for n in range(1, 1001):
        latency.record_value(1000 * n)
    asked = [100] * 10
    return Result(
        scenario=name,
        policy=policy,
        seed=seed,
        seconds=10.0,
        tallies=[
            Tally(
                klass="read", tenant=t, asked=500, in_aim=450, refused=20, worth_asked=500.0, worth_in_aim=w
            )
            for t, w in (("amber", 500 * goodput), ("<blue>", 500 * goodput))
        ],
        latencies={"read": results.encode(latency)},
        attempts=1100,
        series=Series(
            asked={"read": asked},
            in_aim={"read": [90] * 10},
            worth_asked=[100.0] * 10,
            worth_in_aim=[100.0 * goodput] * 10,
            refused=[4] * 10,
            held=[1.0] * 10,
            in_flight={f"s{n}": [float(n)] * 10 for n in range(servers)},
        ),
        acted=[Acted(kind="slow", at=2000.0, until=5000.0, text="servers 1")],
        breaches=[Breach(promise="one answer", at=1234.5, text="two <answers>", request=7)]
        if breached
        else [],
        digest="ab" * 16,
    )


@pytest.fixture
def world(monkeypatch):
    """A world in which goodput hangs on the policy, the seed and one setting."""

    def play(job):
        gain = {"module": 0.05, "least": 0.06}.get(job.policy, 0.0)
        goodput = 0.5 + gain + 0.01 * (job.seed % 3) + 0.1 * job.scenario.load.of_capacity
        return made_up(job.policy, job.seed, goodput, job.scenario.name, breached=job.seed == 13)

    monkeypatch.setattr(experiments, "play", play)


@pytest.mark.parametrize(
    "text, says",
    [
        ('name = "x"\nsecond = 3.0', "second"),
        ('name = "x"\n[load]\nsving = 0.3', "sving"),
        ('name = "x"\n[load]\nswing = 3.0', "load.swing"),
        ('name = "x"\n[[faults]]\nkind = "sloow"', "faults[0].kind"),
        ('name = "x"\n[[faults]]\nkind = "slow"\nsize = 0.5', "faults[0].size"),
        ('name = "x"\n[[faults]]\nkind = "hang"\nservers = [10]', "faults[0].servers"),
        ('name = "x"\n[[classes]]\nname = "a"\neffect = "keyed"', "classes[0].window"),
        ('name = "x"\n[[classes]]\nname = "a"\n[[classes]]\nname = "a"', "classes"),
        ("seconds = 3.0", "name"),
        ("name =", "Invalid value"),
    ],
)
def test_what_is_wrong_in_a_scenario_is_one_line_and_exit_2(tmp_path, capsys, text, says):
    path = tmp_path / "wrong.toml"
    path.write_text(text)
    assert main(["simulate", str(path), "--seed", "1"]) == 2
    told = capsys.readouterr().err
    assert told.count("\n") == 1 and says in told and "wrong.toml" in told


@pytest.mark.parametrize(
    "args, says",
    [
        (["simulate", "calm", "--seed", "1", "--policy", "best"], "best"),
        (["simulate", "no-such", "--seed", "1"], "no-such"),
        (["sweep", "calm", "--set", "load.of=1"], "load.of"),
        (["sweep", "calm", "--set", "load.swing=7"], "load.swing"),
        (["sweep", "calm", "--set", "classes.9.aim=7"], "classes.9.aim"),
        (["sweep", "calm", "--set", "load.swing=0.1", "--seeds", "5..2"], "5..2"),
        (["compare", "module", "no-such.json", "--scenario", "calm", "--cores", "1"], "no-such.json"),
        (["report", "out.html"], "--from"),
    ],
)
def test_what_cannot_be_played_is_one_line_and_exit_2(world, capsys, args, says):
    assert main(args) == 2
    told = capsys.readouterr().err
    assert told.count("\n") == 1 and says in told


def test_every_scenario_can_be_read_and_gives_settings_that_the_module_takes():
    names = {path.stem for path in scenario.built_in()}
    assert len(names) == 20
    for path in scenario.built_in():
        s = scenario.load(path)
        assert s.name == path.stem and s.about
        for proxy in (0, s.proxies - 1):
            settings = read_settings(scenario.settings(s, proxy))
            settings.check()
            assert [c.aim for c in settings.classes] == [c.aim for c in s.classes]
            assert settings.proxies == s.proxies


def test_kinds_are_mixed_by_their_shares_in_any_stretch_of_servers():
    s = scenario.load("busy_evening")
    kinds = s.kind_of()
    assert kinds.count(0) == 6 and kinds.count(1) == 8  # 0.4 and 0.6 of 14
    assert all(0 in kinds[n : n + 4] and 1 in kinds[n : n + 4] for n in range(11))


def test_the_documented_settings_are_the_real_ones():
    page = (DOCS / "testbed.md").read_text()
    for line in reference.table().splitlines()[2:]:
        assert line.startswith("| `faults[].kind`") or line in page, line
    kinds = msgspec.inspect.type_info(scenario.FaultKind)
    for name in [*kinds.values] + [path.stem for path in scenario.built_in()] + list(POLICIES):
        assert f"`{name}`" in page


def test_an_interval_is_that_of_student():
    d = experiments.difference([1.0, 2.0, 3.0, 4.0, 5.0], [2.0, 2.0, 5.0, 5.0, 6.0])
    assert d.mean == pytest.approx(1.0) and d.pairs == 5  # gaps 1 0 2 1 1: s = 0.7071, t = 2.776
    assert d.half == pytest.approx(2.776 * 0.70711 / 5**0.5, abs=1e-3)
    assert d.beyond(0.1) and not d.beyond(0.2)
    assert not experiments.difference([1.0], [9.0]).beyond()  # a single pair proves nothing
    assert experiments.t95(30) == pytest.approx(2.042, abs=1e-3)
    assert experiments.t95(120) == pytest.approx(1.980, abs=1e-3)


def test_pairs_share_scenario_and_seed():
    a = [made_up(seed=n) for n in (3, 1, 2)]
    b = [made_up("least", seed=n) for n in (2, 3, 4)] + [made_up("least", seed=1, name="other")]
    pairs = experiments.paired(a, b)
    assert {name: [(x.seed, y.seed) for x, y in runs] for name, runs in pairs.items()} == {
        "made-up": [(2, 2), (3, 3)]
    }


def test_a_result_comes_back_from_its_file_as_it_was(tmp_path):
    kept = [made_up(), made_up("least", 2, breached=True)]
    results.save(kept, tmp_path / "kept.json")
    assert results.read(tmp_path / "kept.json") == kept
    assert kept[0].percentile(0.5) == pytest.approx(500.0, rel=0.002)
    assert kept[0].goodput() == pytest.approx(0.9) and kept[0].total("refused", tenant="amber") == 20


def test_a_run_ends_with_its_figures_and_a_breach_with_exit_1(world, capsys, tmp_path):
    out = tmp_path / "one.json"
    assert main(["simulate", "calm", "--seed", "3", "--json", str(out)]) == 0
    last = capsys.readouterr().out.splitlines()[-6:]
    assert [line.split()[0] for line in last] == ["goodput", "p50", "p99", "refusals", "breaches", "digest"]
    assert results.read(out)[0].scenario == "calm"
    assert main(["simulate", "calm", "--seed", "13"]) == 1
    assert "seed 13 at 1234.500 ms proxy -1 request 7" in capsys.readouterr().out


def test_compare_says_what_lies_beyond_noise(world, capsys, tmp_path):
    args = ["--seeds", "1..6", "--cores", "1", "--scenario", "calm"]
    assert main(["compare", "random", "module", *args, "--json", str(tmp_path / "both.json")]) == 0
    lines = capsys.readouterr().out.splitlines()
    [goodput] = [line for line in lines if " goodput " in line]
    assert "+0.05" in goodput and "beyond noise" in goodput
    assert "beyond noise" not in next(line for line in lines if " p99 " in line)


def test_a_sweep_has_a_line_for_each_value_and_policy(world, capsys):
    args = ["sweep", "calm", "--set", "load.of_capacity=0.2,0.8", "--policy", "module,random"]
    assert main([*args, "--seeds", "1,2,3", "--cores", "1"]) == 0
    lines = [line.split() for line in capsys.readouterr().out.splitlines()[1:]]
    assert [line[:3] for line in lines] == [
        ["0.2", "module", "0.58"],
        ["0.2", "random", "0.53"],
        ["0.8", "module", "0.64"],
        ["0.8", "random", "0.59"],
    ]


def test_the_page_stands_by_itself_and_shows_what_it_was_given(tmp_path):
    from testbed.report import page

    runs = [made_up(), made_up("least", goodput=0.7, servers=0), made_up(seed=2, breached=True)]
    many = made_up(name="large")
    many.series.in_flight = {"q0.5": [1.0] * 10, "q0.99": [4.0] * 10}
    text = page([*runs, many])
    assert not re.findall(r'(?:src|href)="(?!data:image/svg|#)[^"]*"', text) and "<script" not in text
    assert text.count("data:image/svg+xml;base64,") >= 8
    for word in ("made-up", "large", "0.7000", "slow", "two &lt;answers&gt;", "1234.500"):
        assert word in text
    assert "<blue>" not in text and page([*runs, many]) == text  # the same results, the same page


def test_runs_on_several_cores_come_back_in_order():
    pytest.importorskip("testbed.world")
    s = scenario.parse('name = "tiny"\nseconds = 1.0\nservers = 3')
    jobs = [experiments.Job(s, policy, seed) for policy in ("module", "least") for seed in (1, 2)]
    alone, together = experiments.play_all(jobs, 1), experiments.play_all(jobs, 2)
    assert [(r.policy, r.seed) for r in together] == [(j.policy, j.seed) for j in jobs]
    assert [r.digest for r in together] == [r.digest for r in alone]
    assert len({r.digest for r in alone}) == 4


def test_the_benchmark_shows_losses_and_fails_where_the_module_is_beaten(tmp_path, capsys):
    policies = runpy.run_path(str(DOCS.parent / "benchmarks" / "policies.py"))["main"]
    page = tmp_path / "page.md"
    page.write_text("before\n<!-- policies: begin -->\nold\n<!-- policies: end -->\nafter\n")

    def code(**goodput):
        runs = [
            made_up(policy, seed, share + 0.002 * seed + (0.001 * (seed % 2) if policy == "least" else 0.0))
            for policy, share in goodput.items()
            for seed in (1, 2, 3, 4)
        ]
        results.save(runs, tmp_path / "runs.json")
        return policies(["--from", str(tmp_path / "runs.json"), "--write", str(page)])

    assert code(module=0.8, least=0.83, all_knowing=0.95) == 1
    told = capsys.readouterr().out
    assert "made-up: least leads by 0.03" in told and "the upper bound is 0.150" in told
    text = page.read_text()
    assert text.startswith("before\n") and text.endswith("after\n") and "old" not in text
    assert "0.835 (+0.030" in text and "| made-up | 0.805 |" in text
    assert code(module=0.8, least=0.805, all_knowing=0.85) == 0  # beyond noise, yet of no use
    assert "beyond noise" in capsys.readouterr().out
    assert code(module=0.9, least=0.7) == 0
    assert "nothing beyond noise" in capsys.readouterr().out
