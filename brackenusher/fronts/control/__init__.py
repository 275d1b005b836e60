"""The second address: readiness, figures, drain and resume, for those who operate the proxy."""
