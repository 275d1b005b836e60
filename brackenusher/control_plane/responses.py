"""Responses shared by the calls at the Control address."""

import json

from brackenusher.control_plane.http_server import HttpResponse

RETRY_AFTER_S = "0.2"  # a leader is elected or a link restored within a few such intervals


def error_response(status: int, message: str) -> HttpResponse:
    """A response with one line that names the error and the remedy."""
    return HttpResponse(status, json.dumps({"Error": message}).encode())


def unavailable(message: str) -> HttpResponse:
    """503: the call can't be served now, or it is unknown whether it took effect."""
    response = error_response(503, message)
    response.headers.append(("Retry-After", RETRY_AFTER_S))
    return response
