"""Route lookup by host and longest prefix, and the weighted traffic split."""

import unittest

from barleybarrow.documents import Route, WeightedService
from barleybarrow.routing.route_table import RouteTable, choose_service


def route(name: str, host: str, prefix: str) -> Route:
    """A route to a service with the name of the route."""
    return Route(name, host, prefix, "safe", 1000.0, 100.0, service=name)


class RouteLookupTests(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RouteTable(
            [
                route("root", "a.example", "/"),
                route("one", "a.example", "/one/"),
                route("two", "a.example", "/one/two/"),
                route("other", "B.example", "/one/"),
            ]
        )

    def name(self, host: str, target: str) -> str | None:
        found = self.table.find(host, target)
        return found.name if found else None

    def test_longest_matching_prefix_wins(self) -> None:
        self.assertEqual(self.name("a.example", "/one/two/three"), "two")
        self.assertEqual(self.name("a.example", "/one/tw"), "one")
        self.assertEqual(self.name("a.example", "/one"), "root")
        self.assertEqual(self.name("a.example", "/one/two/"), "two")

    def test_query_is_not_part_of_the_path(self) -> None:
        self.assertEqual(self.name("a.example", "/?x=/one/two/"), "root")
        self.assertEqual(self.name("a.example", "/one/?/two/"), "one")

    def test_host_match_ignores_case_and_port(self) -> None:
        self.assertEqual(self.name("b.EXAMPLE:8080", "/one/x"), "other")
        self.assertIsNone(self.name("b.example", "/two/"))
        self.assertIsNone(self.name("c.example", "/"))

    def test_paths_are_not_decoded_or_normalized(self) -> None:
        self.assertEqual(self.name("a.example", "/%6fne/x"), "root")
        self.assertEqual(self.name("a.example", "/x/../one/x"), "root")
        self.assertEqual(self.name("a.example", "/ONE/x"), "root")
        self.assertEqual(self.name("a.example", "//one/x"), "root")

    def test_absolute_form_targets_are_matched_by_path(self) -> None:
        self.assertEqual(self.name("a.example", "http://a.example/one/x?y"), "one")
        self.assertEqual(self.name("a.example", "http://a.example"), "root")
        self.assertIsNone(self.name("a.example", "*"))


class TrafficSplitTests(unittest.TestCase):
    def test_request_id_always_maps_to_the_same_service(self) -> None:
        split = route("r", "h", "/")
        split.traffic_split = [WeightedService("a", 90), WeightedService("b", 10)]
        first = [choose_service(split, f"id-{number}") for number in range(1000)]
        self.assertEqual(first, [choose_service(split, f"id-{number}") for number in range(1000)])
        self.assertTrue(60 <= first.count("b") <= 140)

    def test_service_of_weight_zero_gets_no_requests(self) -> None:
        split = route("r", "h", "/")
        split.traffic_split = [WeightedService("a", 0), WeightedService("b", 1), WeightedService("c", 0)]
        self.assertEqual({choose_service(split, f"id-{number}") for number in range(1000)}, {"b"})

    def test_route_without_split_uses_its_own_service(self) -> None:
        self.assertEqual(choose_service(route("r", "h", "/"), "id"), "r")
