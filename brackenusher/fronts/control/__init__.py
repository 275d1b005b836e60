"""The control address: readiness, metrics, drain and resume, for operators of the proxy."""
