"""Translates the operators' settings into those of the routing policy, for both of its adapters."""

from typing import Any

from barleybarrow import interface as face

EFFECTS = {"free": face.Effect.SAFE, "guarded": face.Effect.KEYED, "single_shot": face.Effect.UNSAFE}
REPORT_FIELDS = {
    "busy_reqs": "inflight",
    "pending": "queue",
    "cpu_share": "util",
    "svc_ms": "latency",
    "served_ps": "rate",
    "failed_ps": "errors",
}


def read_settings(conf: dict[str, Any]) -> face.Settings:
    """Translate the settings of a proxy; unknown keys are ignored."""
    limits, rules = conf.get("limits", {}), conf.get("rules", {})
    report = conf.get("report", {})
    probe_fields = report.get("fields", []) if report.get("how") == "pull" else []
    prices, goal = conf.get("prices", {}), conf.get("goal", {})
    classes = [
        face.RequestClass(
            aim=c["slo"],
            deadline=c["deadline"],
            worth=c.get("worth", 1.0),
            late_worth=c.get("lateValue", 0.0),
            effect=EFFECTS[c["repeat"]],
            group=face.Group(c.get("group") or "all"),
            window=c.get("window", 0.0),
            name=c.get("name", ""),
        )
        for c in conf["classes"]
    ]
    return face.Settings(
        classes=classes,
        tick=conf.get("tick", 1.0),
        proxies=conf.get("instances", 1),
        zone=conf.get("myZone", 0),
        must_ask=conf.get("membershipMode") == "subscribe",
        max_attempts=limits.get("attemptsCap", 1),
        parallel=limits.get("parallelTries", False),
        cancelling=limits.get("cancelling", False),
        probing=limits.get("probes", False),
        probe_reports=[REPORT_FIELDS[name] for name in probe_fields if name in REPORT_FIELDS],
        max_retry_after=limits.get("maxRetryAfter", 0.0) if limits.get("retryAfter") else 0.0,
        conn_idle=limits.get("connIdle", 0.0),
        connect_timeout=limits.get("connectTimeout", 0.0),
        drain_grace=rules.get("stopSendingWithin", 0.0),
        hang_up_within=rules.get("hangUpWithin", 0.0),
        ask_within=rules.get("askWithin", 0.0),
        cold_from=rules.get("coldFrom", 1.0),
        cold=rules.get("cold", 0.0),
        tip_multiple=rules.get("tipMultiple", 1.0),
        tip_after=rules.get("tipAfter", 0.0),
        cross_zone_price=prices.get("crossZone", 0.0),
        probe_price=prices.get("probe", 0.0),
        whole_weight=goal.get("whole", 1.0),
        worst_class_weight=goal.get("worstClass", 0.0),
        quotas=[t.get("quotaPerS", 0.0) / 1000.0 for t in conf.get("tenants", [])],
        over_quota_worth=conf.get("overShareWorth", 1.0),
        tenants=[t.get("name", "") for t in conf.get("tenants", [])],
        zones=conf.get("localities", []),
        kinds=conf.get("shapes", []),
    )
