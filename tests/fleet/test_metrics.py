"""Tests of metrics in the Prometheus text format and of the calls at a Ready address."""

import asyncio
import unittest

from brackenusher.control_plane.http_server import HttpRequest, HttpResponse
from brackenusher.control_plane.ready_api import ReadyApi
from brackenusher.runtime.metrics import MAX_SERIES, Metrics
from brackenusher.runtime.process_metrics import add_process_metrics


class MetricsTest(unittest.TestCase):
    """Rendering of metrics."""

    def setUp(self) -> None:
        self.metrics = Metrics()

    def lines(self) -> list[str]:
        return [line for line in self.metrics.render().decode().splitlines() if not line.startswith("#")]

    def test_counters(self) -> None:
        self.metrics.counter("links_total", "Links.").labels().inc()
        calls = self.metrics.counter("calls_total", "Calls.", "call", "status")
        calls.labels("get", "200").inc()
        calls.labels("get", "200").inc(2)
        calls.labels("get", "503").inc(0.5)
        expected = [
            "brackenusher_links_total 1",
            'brackenusher_calls_total{call="get",status="200"} 3',
            'brackenusher_calls_total{call="get",status="503"} 0.5',
        ]
        self.assertEqual(self.lines(), expected)

    def test_a_metric_without_labels_is_rendered_before_its_first_use(self) -> None:
        self.metrics.counter("links_total", "Links.")
        self.metrics.counter("calls_total", "Calls.", "call")
        self.assertEqual(self.lines(), ["brackenusher_links_total 0"])

    def test_gauges(self) -> None:
        gauge = self.metrics.gauge("in_flight", "Requests.").labels()
        gauge.set(3)
        gauge.set(-1.25)
        self.metrics.gauge_function("version", "Version in force.", lambda: 7)
        self.assertEqual(self.lines(), ["brackenusher_in_flight -1.25", "brackenusher_version 7"])

    def test_histograms_are_cumulative(self) -> None:
        waits = self.metrics.histogram("wait_seconds", "Waits.", "kind", bounds=(0.1, 1.0)).labels("a")
        for value in (0.05, 0.1, 0.5, 3.0):
            waits.observe(value)
        expected = [
            'brackenusher_wait_seconds_bucket{kind="a",le="0.1"} 2',
            'brackenusher_wait_seconds_bucket{kind="a",le="1"} 3',
            'brackenusher_wait_seconds_bucket{kind="a",le="+Inf"} 4',
            'brackenusher_wait_seconds_sum{kind="a"} 3.65',
            'brackenusher_wait_seconds_count{kind="a"} 4',
        ]
        self.assertEqual(self.lines(), expected)

    def test_help_and_type_lines(self) -> None:
        self.metrics.histogram("wait_seconds", "Waits\\of\nall.")
        self.assertEqual(
            self.metrics.render().decode().splitlines()[:2],
            [
                "# HELP brackenusher_wait_seconds Waits\\\\of\\nall.",
                "# TYPE brackenusher_wait_seconds histogram",
            ],
        )

    def test_label_values_are_escaped(self) -> None:
        self.metrics.counter("calls_total", "Calls.", "call").labels('a"b\\c\nd').inc()
        self.assertEqual(self.lines(), ['brackenusher_calls_total{call="a\\"b\\\\c\\nd"} 1'])

    def test_the_number_of_series_is_limited(self) -> None:
        calls = self.metrics.counter("calls_total", "Calls.", "call")
        for number in range(1000):
            calls.labels(str(number)).inc()
        lines = self.lines()
        self.assertEqual(len(lines), MAX_SERIES + 1)
        self.assertEqual(lines[-1], f'brackenusher_calls_total{{call="other"}} {1000 - MAX_SERIES}')

    def test_callbacks_are_read_on_each_rendering(self) -> None:
        counts = {"sent": 1.0}
        self.metrics.sampled("counter", "decisions_total", "Decisions.", "decision", lambda: counts)
        counts["refused"] = 2.5
        expected = [
            'brackenusher_decisions_total{decision="refused"} 2.5',
            'brackenusher_decisions_total{decision="sent"} 1',
        ]
        self.assertEqual(self.lines(), expected)
        counts.update({f"{number:04}": 1.0 for number in range(MAX_SERIES - 2)})
        self.assertEqual(len(self.lines()), MAX_SERIES)
        self.assertNotIn("other", self.lines()[-1])
        counts.update({f"{number:04}": 1.0 for number in range(MAX_SERIES)})
        self.assertEqual(len(self.lines()), MAX_SERIES + 1)
        self.assertEqual(self.lines()[-1], 'brackenusher_decisions_total{decision="other"} 3.5')
        with self.assertRaises(ValueError):
            self.metrics.sampled("counter", "decisions_total", "Decisions.", "decision", dict)
        for make in (self.metrics.counter, self.metrics.gauge):
            with self.assertRaises(ValueError):
                make("decisions_total", "Decisions.", "decision")

    def test_counters_from_callbacks(self) -> None:
        self.metrics.counter_function("cpu_seconds_total", "Time.", lambda: 1.5)
        self.assertIn("# TYPE brackenusher_cpu_seconds_total counter", self.metrics.render().decode())
        self.assertEqual(self.lines(), ["brackenusher_cpu_seconds_total 1.5"])

    def test_process_metrics(self) -> None:
        add_process_metrics(self.metrics)
        values = dict(line.rsplit(" ", 1) for line in self.lines())
        self.assertGreater(float(values["brackenusher_process_cpu_seconds_total"]), 0)
        resident = float(values["brackenusher_process_resident_memory_bytes"])
        self.assertGreater(resident, 1e6)
        self.assertGreaterEqual(float(values["brackenusher_process_peak_memory_bytes"]) * 1.01, resident)

    def test_metric_names_are_unique(self) -> None:
        first = self.metrics.counter("calls_total", "Calls.", "call")
        self.assertIs(self.metrics.counter("calls_total", "Calls.", "call"), first)
        with self.assertRaises(ValueError):
            self.metrics.gauge("calls_total", "Calls.", "call")
        with self.assertRaises(ValueError):
            self.metrics.counter("calls_total", "Calls.")
        with self.assertRaises(ValueError):
            first.labels("a", "b")


class ReadyTest(unittest.TestCase):
    """The calls at a Ready address."""

    def setUp(self) -> None:
        self.ready = False
        self.metrics = Metrics()
        self.api = ReadyApi(lambda: self.ready, self.metrics)

    def call(self, target: str, method: str = "GET") -> HttpResponse:
        return asyncio.run(self.api.handle(HttpRequest(method, target, {})))

    def test_readiness(self) -> None:
        self.assertEqual(self.call("/-/readiness").status, 503)
        self.ready = True
        self.assertEqual(self.call("/-/readiness").status, 200)
        self.assertEqual(self.call("/-/readiness?x=1", "HEAD").status, 200)

    def test_metrics(self) -> None:
        self.metrics.counter("links_total", "Links.")
        response = self.call("/-/metrics")
        self.assertEqual((response.status, response.body), (200, self.metrics.render()))
        self.assertTrue(response.content_type.startswith("text/plain; version=0.0.4"))

    def test_other_paths_and_methods(self) -> None:
        self.assertEqual(self.call("/").status, 404)
        self.assertEqual(self.call("/-/readiness", "POST").status, 405)
