"""Signed tokens that grant the rights to read and to submit. It is told the wall-clock time; no I/O.

A token is ``<kid>.<holder>.<rights>.<expiry>.<mac>``; the MAC is HMAC-SHA256 in base64url, without padding,
over the first four fields and the dots between them.
"""

import hashlib
import hmac
import re
from base64 import urlsafe_b64encode
from collections.abc import Mapping
from dataclasses import dataclass, field

READ, SUBMIT = "read", "submit"
MISSING, EXPIRED, FORGED, INSUFFICIENT_RIGHTS = "missing", "expired", "forged", "rights"
KEY_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}\Z")
HOLDER_PATTERN = re.compile(r"[!-\-/-~]{1,256}\Z")  # printable ASCII without dots
RIGHTS_PATTERN = re.compile(rf"({READ}|{SUBMIT})(\+({READ}|{SUBMIT}))*\Z")
TOKEN_PATTERN = re.compile(rb"([!-\-/-~]+)\.[!-\-/-~]+\.([!-\-/-~]+)\.([0-9]{1,15})\.([A-Za-z0-9_-]{43})\Z")


class TokenError(ValueError):
    """A token with these fields cannot be issued."""


@dataclass(frozen=True)
class TokenSettings:
    """The valid keys by id, and the tolerated clock skew in seconds."""

    keys: Mapping[str, bytes] = field(default_factory=dict, repr=False)
    skew_s: float = 30.0


def sign(key: bytes, fields: bytes) -> bytes:
    """The MAC of a token's fields, as written in the token."""
    return urlsafe_b64encode(hmac.digest(key, fields, hashlib.sha256)).rstrip(b"=")


def issue(settings: TokenSettings, kid: str, holder: str, rights: str, expiry: int) -> str:
    """Make a token that is valid until `expiry`, in Unix seconds."""
    if kid not in settings.keys:
        raise TokenError(f"there is no key {kid!r}")
    if not HOLDER_PATTERN.match(holder):
        raise TokenError(f"the holder must be printable, without blank or dot, not {holder!r}")
    if not RIGHTS_PATTERN.match(rights):
        raise TokenError(f"the rights must be {READ}, {SUBMIT} or {READ}+{SUBMIT}, not {rights!r}")
    if not 0 <= expiry < 10**15:
        raise TokenError("the expiry is out of range")
    fields = f"{kid}.{holder}.{rights}.{expiry}"
    return f"{fields}.{sign(settings.keys[kid], fields.encode()).decode()}"


def rejection_reason(settings: TokenSettings, token: bytes | None, need: str, now: float) -> str:
    """Why a token does not grant the right `need` at `now` (Unix seconds); empty if it does."""
    if not token:
        return MISSING
    match = TOKEN_PATTERN.match(token)
    if match is None:
        return FORGED
    key = settings.keys.get(match[1].decode())
    if key is None or not hmac.compare_digest(sign(key, token[: match.start(4) - 1]), match[4]):
        return FORGED
    if now > int(match[3]) + settings.skew_s:
        return EXPIRED
    return "" if need.encode() in match[2].split(b"+") else INSUFFICIENT_RIGHTS
