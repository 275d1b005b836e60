"""Validation of configuration documents: invalid ones are rejected with a message, valid ones accepted."""

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
    """Returns the typed form; fails the test if the document is rejected."""
    match validate_document(document):
        case Success(configuration):
            return configuration
        case Failure(error):
            raise AssertionError(f"rejected: {error}")
    raise AssertionError("neither accepted nor rejected")


def error_of(document: Any) -> str:
    """Returns the error message; fails the test if the document is accepted."""
    match validate_document(document):
        case Failure(error):
            return str(error)
    raise AssertionError("accepted")


class ValidDocumentsTest(unittest.TestCase):
    """Valid documents are accepted and converted completely."""

    def test_example_is_fully_parsed(self) -> None:
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

    def test_variants_are_accepted(self) -> None:
        for name, change in VALID.items():
            with self.subTest(name):
                document = example()
                change(document)
                configuration_of(document)

    def test_validation_does_not_modify_the_document(self) -> None:
        document = example()
        configuration_of(document)
        self.assertEqual(document, example())

    def test_document_with_hundreds_of_routes(self) -> None:
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


UNUSUAL_VALUES: tuple[Any, ...] = (
    *(None, True, False, 0, -1, 7, 1.5, 10**400, float("inf"), float("nan"), "", "0", "r-two", "\n\0"),
    *([], {}, [[]], [{}], {"Name": "oracle"}, [{"Name": "oracle"}], ["key-3"], "x" * 10_000),
)


def mutated_document(rng: random.Random) -> dict[str, Any]:
    """Returns the example with one or two values replaced, removed or duplicated at random."""
    document = example()
    for _ in range(rng.randint(1, 2)):
        container: Any = document
        while True:
            key = rng.choice(list(container) if isinstance(container, dict) else range(len(container)))
            if not (isinstance(container[key], dict | list) and container[key]) or rng.random() < 0.2:
                break
            container = container[key]
        if rng.random() < 0.1 and isinstance(container, list):
            container.append(container[key])
        elif rng.random() < 0.2:
            del container[key]
        else:
            container[key] = rng.choice(UNUSUAL_VALUES)
    return document


class MutatedDocumentsTest(unittest.TestCase):
    """Any document is either accepted or rejected with one line; no other exception is raised."""

    def test_random_mutations(self) -> None:
        accepted = rejected = 0
        for seed in range(3000):
            match validate_document(mutated_document(random.Random(seed))):
                case Success(configuration):
                    self.assert_consistent(configuration, f"seed {seed}")
                    accepted += 1
                case Failure(error):
                    self.assertEqual(len(str(error).splitlines()), 1, f"seed {seed}")
                    self.assertLess(len(str(error)), 400, f"seed {seed}")
                    rejected += 1
        self.assertGreater(min(accepted, rejected), 300)

    def assert_consistent(self, configuration: Configuration, seed: str) -> None:
        """Checks the invariants of an accepted configuration on its typed form."""
        services = {service.name for service in configuration.services}
        matches = [(route.hostname.lower(), route.path_prefix) for route in configuration.routes]
        self.assertEqual(len(matches), len(set(matches)), seed)
        for route in configuration.routes:
            self.assertGreater(route.timeout_ms, 0, seed)
            weights = [(part.service, part.weight) for part in route.traffic_split] or [(route.service, 1.0)]
            self.assertLessEqual({service for service, _ in weights}, services, seed)
            self.assertGreater(sum(weight for _, weight in weights), 0, seed)
        keys_of_tenants = [
            (key, tenant.name) for tenant in configuration.tenants for key in set(tenant.api_keys)
        ]
        self.assertEqual(len(keys_of_tenants), len({key for key, _ in keys_of_tenants}), seed)
        self.assertGreater(configuration.generation, 0, seed)


class InvalidDocumentsTest(unittest.TestCase):
    """Invalid documents are rejected with one line that names the item."""

    def test_invalid_variants_are_rejected(self) -> None:
        for name, (change, expected) in INVALID.items():
            with self.subTest(name):
                document = example()
                change(document)
                message = error_of(document)
                self.assertIn(expected, message)
                self.assertNotIn("\n", message)

    def test_document_that_is_not_an_object(self) -> None:
        for document in (None, 3, "text", [], [{"Generation": 7}]):
            with self.subTest(document):
                self.assertIn("is not an object", error_of(document))

    def test_api_keys_are_not_in_error_messages(self) -> None:
        document = example()
        document["Tenants"][1]["ApiKeys"] = ["key-2"]
        self.assertNotIn("key-2", error_of(document))

    def test_hostile_names_are_escaped_and_truncated(self) -> None:
        document = example()
        document["Routes"][0].update(Name="a\nb" * 1000, TimeoutMs=0)
        message = error_of(document)
        self.assertNotIn("\n", message)
        self.assertLess(len(message), 300)


class ImportsTest(unittest.TestCase):
    """pyserde is slow to import: neither the settings nor the validation module may import it eagerly."""

    def test_modules_import_nothing_slow(self) -> None:
        code = (
            "import sys, brackenusher.settings.reading, brackenusher.settings.documents,"
            " brackenusher.control_plane.api, brackenusher.control_plane.http_server;"
            "heavy = {'serde', 'typer', 'pydantic', 'absl', 'prometheus_client'};"
            "print(sorted(heavy & set(sys.modules)))"
        )
        completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        self.assertEqual(completed.stdout.strip(), "[]")

    def test_validation_does_not_import_numpy(self) -> None:
        """pyserde imports numpy if it is installed, which costs a control process 10 MB."""
        code = (
            "import sys; from brackenusher.settings.documents import validate_document;"
            "from tests.fleet.document_examples import example;"
            "validate_document(example()).unwrap();"
            "print('serde' in sys.modules, 'numpy' in sys.modules); import numpy"
        )
        completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        self.assertEqual(completed.stdout.strip(), "True False")
