"""Checks of configuration documents: what is refused and how, and that nothing valid is refused."""

import random
import subprocess
import sys
import unittest
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Success

from barleybarrow.documents import Configuration, QuotaUnit, Route, RouteKind, WeightedService
from brackenusher.settings.documents import validate_document
from tests.fleet.document_examples import example

Change = Callable[[dict[str, Any]], Any]


def configuration_of(document: dict[str, Any]) -> Configuration:
    """The typed form; fails the test where the document is refused."""
    match validate_document(document):
        case Success(configuration):
            return configuration
        case Failure(error):
            raise AssertionError(f"refused: {error}")
    raise AssertionError("neither taken nor refused")


def refusal_of(document: Any) -> str:
    """The message; fails the test where the document is taken."""
    match validate_document(document):
        case Failure(error):
            return str(error)
    raise AssertionError("taken")


class ValidDocumentsTest(unittest.TestCase):
    """Nothing valid is refused, and everything comes out typed."""

    def test_example_is_read_whole(self) -> None:
        configuration = configuration_of(example())
        self.assertEqual(configuration.generation, 7)
        first, second = configuration.routes
        self.assertEqual(
            first,
            Route(
                name="r-one",
                hostname="shop.example",
                path_prefix="/turns/",
                kind=RouteKind.STREAMING,
                timeout_ms=15000.0,
                target_latency_ms=150.0,
                priority=0,
                service="oracle",
                max_attempts=2,
                sticky=True,
                resumable=True,
                gap_aim_ms=150.0,
            ),
        )
        self.assertEqual(
            second.traffic_split, [WeightedService("oracle", 90.0), WeightedService("roster", 10.0)]
        )
        oracle, roster = configuration.services
        assert oracle.engine is not None
        self.assertEqual((oracle.engine.stride, oracle.engine.kv_capacity_tokens), (45, 872000))
        self.assertEqual(oracle.engine.models[0].name, "m")
        self.assertIsNone(roster.engine)
        self.assertEqual(configuration.limits.idle_timeout_ms, 15000.0)
        tenant, other = configuration.tenants
        self.assertEqual((tenant.unit, tenant.rate_per_s, tenant.priority), (QuotaUnit.TOKENS, 436251.0, 1))
        self.assertEqual((other.unit, other.rate_per_s, other.priority), (QuotaUnit.REQUESTS, 0.0, None))

    def test_variants_are_taken(self) -> None:
        for name, change in VALID.items():
            with self.subTest(name):
                document = example()
                change(document)
                configuration_of(document)

    def test_reading_alters_nothing(self) -> None:
        document = example()
        configuration_of(document)
        self.assertEqual(document, example())

    def test_hundreds_of_routes(self) -> None:
        document = example()
        document["Routes"] = [
            {**document["Routes"][n % 2], "Name": f"r-{n}", "PathPrefix": f"/p{n}/"} for n in range(430)
        ]
        self.assertEqual(len(configuration_of(document).routes), 430)


def _without(section: str) -> Change:
    return lambda document: document.pop(section)


def _route(**fields: Any) -> Change:
    return lambda document: document["Routes"][0].update(fields)


def _weights(*weights: Any) -> Change:
    def change(document: dict[str, Any]) -> None:
        for part, weight in zip(document["Routes"][1]["TrafficSplit"], weights, strict=True):
            part["Weight"] = weight

    return change


def _only_public(document: dict[str, Any]) -> None:
    document["Routes"], document["Services"] = [], []
    del document["Tenants"], document["Limits"]


VALID: dict[str, Change] = {
    "unknown fields anywhere": lambda d: (d.update(New=1), d["Routes"][0].update(Later={"a": [1]})),
    "no tenants": _without("Tenants"),
    "no limits": _without("Limits"),
    "limits in part": lambda d: d.update(Limits={"MaxBodyBytes": 10}),
    "nulls for what is absent": lambda d: (
        d["Services"][0].update(Engine=None),
        d["Routes"][0].update(TrafficSplit=None),
        d.update(Tenants=None),
    ),
    "fractions": _route(TimeoutMs=1500.5, gap_aim_ms=0.25),
    "whole numbers written as fractions": _route(MaxAttempts=2.0),
    "one weight of 0": _weights(100, 0),
    "weights as fractions": _weights(0.5, 0.25),
    "same prefix at another host": lambda d: d["Routes"][1].update(
        Hostname="other.example", PathPrefix="/turns/"
    ),
    "prefix below another": lambda d: d["Routes"][1].update(PathPrefix="/turns/more/"),
    "a key twice at one tenant": lambda d: d["Tenants"][0].update(ApiKeys=["a", "a"]),
    "a tenant without keys": lambda d: d["Tenants"][0].pop("ApiKeys"),
    "nothing but a version": _only_public,
    "names that are not ASCII": _route(Name="törn-\u4e2d"),
    "a kind that is not known yet": _route(Kind="batch"),
    "a service without routes": lambda d: d["Services"].append({"Name": "spare"}),
    "a name shared by a route and a service": _route(Name="oracle"),
}

INVALID: dict[str, tuple[Change, str]] = {
    "no Generation": (_without("Generation"), "Generation"),
    "Generation 0": (lambda d: d.update(Generation=0), "Generation"),
    "Generation as text": (lambda d: d.update(Generation="7"), "Generation"),
    "Generation true": (lambda d: d.update(Generation=True), "Generation"),
    "no Routes": (_without("Routes"), "Routes is missing"),
    "Routes as object": (lambda d: d.update(Routes={}), "Routes: is not a list"),
    "a route that is no object": (lambda d: d["Routes"].append(3), "Routes[2]: is not an object"),
    "a route without a name": (
        lambda d: d["Routes"][0].pop("Name"),
        "Routes[0]: missing required field 'Name'",
    ),
    "no TimeoutMs": (lambda d: d["Routes"][0].pop("TimeoutMs"), "route r-one: missing required field"),
    "TimeoutMs 0": (_route(TimeoutMs=0), "route r-one: TimeoutMs is 0"),
    "TimeoutMs below 0": (_route(TimeoutMs=-1), "route r-one: TimeoutMs is 0 or less"),
    "TimeoutMs as text": (_route(TimeoutMs="15"), "route r-one: TimeoutMs is '15': make it a number"),
    "TimeoutMs true": (_route(TimeoutMs=True), "route r-one: TimeoutMs is True: make it a number"),
    "TimeoutMs beyond all bounds": (_route(TimeoutMs=float("inf")), "route r-one: TimeoutMs is inf"),
    "half an attempt": (_route(MaxAttempts=1.5), "MaxAttempts is 1.5: make it a whole number"),
    "Public as text": (_route(Public="no"), "Public is 'no': make it true or false"),
    "Hostname as number": (_route(Hostname=7), "Hostname is 7: make it a string"),
    "unknown service": (_route(Service="nobody"), "route r-one: names the unknown service nobody"),
    "no service at all": (lambda d: d["Routes"][0].pop("Service"), "route r-one: names no service"),
    "unknown service in a split": (
        lambda d: d["Routes"][1]["TrafficSplit"][0].update(Service="nobody"),
        "route r-two: names the unknown service nobody",
    ),
    "unknown service at weight 0": (
        lambda d: d["Routes"][1]["TrafficSplit"].append({"Service": "nobody", "Weight": 0}),
        "route r-two: names the unknown service nobody",
    ),
    "unknown service beside a split": (
        lambda d: d["Routes"][1].update(Service="nobody"),
        "route r-two: names the unknown service nobody",
    ),
    "no services": (_without("Services"), "names the unknown service oracle"),
    "weights of 0": (_weights(0, 0), "route r-two: its weights sum to 0"),
    "weights that cancel": (_weights(5, -5), "route r-two: a Weight is below 0"),
    "weight as text": (_weights("5", 1), "route r-two: Weight is '5'"),
    "weight left out": (
        lambda d: d["Routes"][1]["TrafficSplit"][0].pop("Weight"),
        "route r-two: missing required field 'Weight'",
    ),
    "two routes in one place": (
        lambda d: d["Routes"][1].update(PathPrefix="/turns/"),
        "route r-two: has the host and prefix of route r-one",
    ),
    "two routes in one place, hosts in other case": (
        lambda d: d["Routes"][1].update(PathPrefix="/turns/", Hostname="SHOP.Example"),
        "route r-two: has the host and prefix of route r-one",
    ),
    "a name twice": (_route(Name="r-two"), "route r-two: its Name is there twice"),
    "shared key": (
        lambda d: d["Tenants"][1].update(ApiKeys=["key-2"]),
        "tenant t-two: shares a key with tenant t-one",
    ),
    "ApiKeys as text": (lambda d: d["Tenants"][0].update(ApiKeys="key"), "ApiKeys is 'key': make it a list"),
    "a key that is no text": (
        lambda d: d["Tenants"][0].update(ApiKeys=[1]),
        "ApiKeys is 1: make it a string",
    ),
    "Limits as list": (lambda d: d.update(Limits=[1]), "Limits: is not an object"),
    "Engine as number": (lambda d: d["Services"][0].update(Engine=3), "service oracle: Engine is 3"),
    "Models as number": (
        lambda d: d["Services"][0]["Engine"].update(Models=3),
        "Models is 3: make it",
    ),
    "a model without a name": (
        lambda d: d["Services"][0]["Engine"].update(Models=[{}]),
        "service oracle: missing required field 'Name'",
    ),
}


ODD_VALUES: tuple[Any, ...] = (
    *(None, True, False, 0, -1, 7, 1.5, 10**400, float("inf"), float("nan"), "", "0", "r-two", "\n\0"),
    *([], {}, [[]], [{}], {"Name": "oracle"}, [{"Name": "oracle"}], ["key-3"], "x" * 10_000),
)


def odd_document(rng: random.Random) -> dict[str, Any]:
    """The example with some values exchanged for odd ones, left out, or put twice."""
    document = example()
    for _ in range(rng.randint(1, 2)):
        place: Any = document
        while True:
            key = rng.choice(list(place) if isinstance(place, dict) else range(len(place)))
            if not (isinstance(place[key], dict | list) and place[key]) or rng.random() < 0.2:
                break
            place = place[key]
        if rng.random() < 0.1 and isinstance(place, list):
            place.append(place[key])
        elif rng.random() < 0.2:
            del place[key]
        else:
            place[key] = rng.choice(ODD_VALUES)
    return document


class OddDocumentsTest(unittest.TestCase):
    """Whatever comes is taken or refused in a line; nothing else is raised."""

    def test_values_exchanged_at_random(self) -> None:
        taken = refused = 0
        for seed in range(3000):
            match validate_document(odd_document(random.Random(seed))):
                case Success(configuration):
                    self.assert_sound(configuration, f"seed {seed}")
                    taken += 1
                case Failure(error):
                    self.assertEqual(len(str(error).splitlines()), 1, f"seed {seed}")
                    self.assertLess(len(str(error)), 400, f"seed {seed}")
                    refused += 1
        self.assertGreater(min(taken, refused), 300)

    def assert_sound(self, configuration: Configuration, seed: str) -> None:
        """What every configuration that is taken must have, read from the typed form alone."""
        services = {service.name for service in configuration.services}
        places = [(route.hostname.lower(), route.path_prefix) for route in configuration.routes]
        self.assertEqual(len(places), len(set(places)), seed)
        for route in configuration.routes:
            self.assertGreater(route.timeout_ms, 0, seed)
            parts = [(part.service, part.weight) for part in route.traffic_split] or [(route.service, 1.0)]
            self.assertLessEqual({service for service, _ in parts}, services, seed)
            self.assertGreater(sum(weight for _, weight in parts), 0, seed)
        holders = [(key, tenant.name) for tenant in configuration.tenants for key in set(tenant.api_keys)]
        self.assertEqual(len(holders), len({key for key, _ in holders}), seed)
        self.assertGreater(configuration.generation, 0, seed)


class InvalidDocumentsTest(unittest.TestCase):
    """What is invalid is refused in one line that names the item."""

    def test_each_is_refused(self) -> None:
        for name, (change, expected) in INVALID.items():
            with self.subTest(name):
                document = example()
                change(document)
                message = refusal_of(document)
                self.assertIn(expected, message)
                self.assertNotIn("\n", message)

    def test_no_document(self) -> None:
        for document in (None, 3, "text", [], [{"Generation": 7}]):
            with self.subTest(document):
                self.assertIn("is not an object", refusal_of(document))

    def test_keys_are_not_told(self) -> None:
        document = example()
        document["Tenants"][1]["ApiKeys"] = ["key-2"]
        self.assertNotIn("key-2", refusal_of(document))

    def test_hostile_names_stay_in_one_short_line(self) -> None:
        document = example()
        document["Routes"][0].update(Name="a\nb" * 1000, TimeoutMs=0)
        message = refusal_of(document)
        self.assertNotIn("\n", message)
        self.assertLess(len(message), 300)


class ImportsTest(unittest.TestCase):
    """pyserde takes long to import: neither settings nor the module with the check may do so."""

    def test_modules_are_light(self) -> None:
        code = (
            "import sys, brackenusher.settings.reading, brackenusher.settings.documents,"
            " brackenusher.control_plane.api, brackenusher.control_plane.http_server;"
            "heavy = {'serde', 'typer', 'pydantic', 'absl', 'prometheus_client'};"
            "print(sorted(heavy & set(sys.modules)))"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        self.assertEqual(done.stdout.strip(), "[]")

    def test_checking_does_not_import_numpy(self) -> None:
        """pyserde would, where it is installed; it costs a control process 10 MB."""
        code = (
            "import sys; from brackenusher.settings.documents import validate_document;"
            "from tests.fleet.document_examples import example;"
            "validate_document(example()).unwrap();"
            "print('serde' in sys.modules, 'numpy' in sys.modules); import numpy"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        self.assertEqual(done.stdout.strip(), "True False")
