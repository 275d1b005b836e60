"""Answers that the calls at the Control address share."""

import json

from brackenusher.control_plane.http_server import HttpResponse

RETRY_AFTER_S = "0.2"  # a leader is found or a link is up again within a few of these


def error_response(status: int, message: str) -> HttpResponse:
    """An answer with one line that names what is wrong and the remedy."""
    return HttpResponse(status, json.dumps({"Error": message}).encode())


def unavailable(message: str) -> HttpResponse:
    """503: whether the call took effect is not known, or it can't be served now."""
    response = error_response(503, message)
    response.headers.append(("Retry-After", RETRY_AFTER_S))
    return response
