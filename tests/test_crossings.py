"""Narrow moments on real sockets: an event that comes between two others. Each is forced, not awaited."""

from helpers import SETTINGS, Program, TurnServer, response, submit_request

UNSAFE = {**SETTINGS["classes"][1], "repeat": "single_shot"}
UNSAFE_SETTINGS = {"classes": [SETTINGS["classes"][0], UNSAFE]}


def unsafe_request(number=1, body=b"move", extra=""):
    """A request of a class that is unsafe to repeat: it has no key."""
    key = b"Idempotency-Key: key%d\r\n" % number
    return submit_request(number, body, extra).replace(key, b"")


def test_a_request_that_is_unsafe_to_repeat_needs_no_key_and_is_sent_once(tmp_path):
    # guards against asking a key of a class whose clients have none: nothing of it was ever served
    def fail(server, message):
        return response(500, b"no") if message[1]["req-id"] == "id2" else response(200, b"board")

    with Program(tmp_path, TurnServer(fail), settings=UNSAFE_SETTINGS) as program:
        assert program.ask(unsafe_request(1))[::2] == (200, b"board")
        assert program.ask(unsafe_request(2))[0] == 502
        assert program.ask(submit_request(3))[::2] == (200, b"board")
        requests = [headers for _, headers, _ in program.servers[0].requests]
        assert [each["req-id"] for each in requests] == ["id1", "id2", "id3"]
        assert ["idempotency-key" in each for each in requests] == [False, False, True]
