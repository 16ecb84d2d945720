"""Issues and verifies session tokens.

Registered claims (RFC 7519 section 4): `iss`, `aud`, `sub` (the viewer), `jti` (the token's id, which is the
billed unit), `exp`, optional `nbf`. Private claims: `title`, `class`, `tenant`, optional `best` (highest rung
that the viewer can use) and `length` (estimated viewing time in seconds).

Expiry is checked separately from the signature: an expired token starts no session, but the manifest of a
session that it started may still be reloaded. No error message contains any part of a token.
"""

from __future__ import annotations

import binascii
import json
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from joserfc import jwt
from joserfc.errors import JoseError
from joserfc.jwk import KeySet

ALGORITHMS = [
    "HS256",
    "ES256",
    "Ed25519",
]  # never "none"; with an asymmetric one a director can verify tokens but not issue them
MAX_CHARS = 4096  # a longer text is rejected before decoding
MAX_ID_CHARS = 128


class TokenFault(Enum):
    """Why a token is not accepted."""

    MISSING = "no token"
    TOO_LARGE = "token too large"
    MALFORMED = "not a signed JWT"
    BAD_SIGNATURE = "signature does not verify"
    WRONG_ISSUER_OR_AUDIENCE = "issued by or for someone else"
    BAD_CLAIMS = "a claim is missing or ill-typed"
    EXPIRED = "expired"
    NOT_YET_VALID = "not valid yet"


class TokenError(ValueError):
    """A token is not accepted; `detail` names the claim, never its value."""

    def __init__(self, fault: TokenFault, detail: str = "") -> None:
        super().__init__(f"{fault.value}: {detail}" if detail else fault.value)
        self.fault, self.detail = fault, detail


@dataclass(frozen=True, slots=True)
class SessionToken:
    """The claims of a verified token. Times are Unix seconds."""

    id: str
    viewer: str
    title: str
    klass: str
    tenant: str
    expires: int
    not_before: int = 0
    best_rung: int | None = None
    length_s: float | None = None

    def check_time(self, now: float, leeway: float) -> None:
        """Raises TokenError if the token has expired or is not valid yet at `now`."""
        if now >= self.expires + leeway:
            raise TokenError(TokenFault.EXPIRED)
        if now < self.not_before - leeway:
            raise TokenError(TokenFault.NOT_YET_VALID)


def load_keys(path: Path) -> KeySet:
    """Read a JWK set (RFC 7517 section 5). Raises ValueError that names the file and contains no key."""
    try:
        data = json.loads(path.read_text(encoding="utf-8"))
        keys = KeySet.import_key_set(data)
    except (OSError, UnicodeDecodeError) as error:
        raise ValueError(f"{path}: keys cannot be read: {error}") from error
    except Exception as error:  # the library raises many types; their texts may contain the key
        raise ValueError(f"{path}: not a JWK set ({type(error).__name__})") from None
    if not keys.keys:
        raise ValueError(f"{path}: the key set is empty")
    return keys


class Verifier:
    """Verifies tokens against a key set, an issuer and an audience."""

    def __init__(self, keys: KeySet, issuer: str, audience: str) -> None:
        self._keys, self._issuer, self._audience = keys, issuer, audience

    def verify(self, text: str) -> SessionToken:
        """Return the claims after checking signature, issuer and audience, but not the times.

        Raises TokenError.
        """
        if not text:
            raise TokenError(TokenFault.MISSING)
        if len(text) > MAX_CHARS:
            raise TokenError(TokenFault.TOO_LARGE)
        if text.count(".") != 2:
            raise TokenError(TokenFault.MALFORMED)
        try:
            claims = jwt.decode(text, self._keys, algorithms=ALGORITHMS).claims
        except JoseError as error:
            known = {
                "bad_signature": TokenFault.BAD_SIGNATURE,
                "invalid_key_id": TokenFault.WRONG_ISSUER_OR_AUDIENCE,
            }
            raise TokenError(known.get(str(error.error), TokenFault.MALFORMED)) from None
        except (ValueError, TypeError, KeyError, binascii.Error, RecursionError):
            raise TokenError(TokenFault.MALFORMED) from None
        return self._read(claims)

    def _read(self, claims: dict[str, Any]) -> SessionToken:
        audience = claims.get("aud")
        audiences = audience if isinstance(audience, list) else [audience]
        if claims.get("iss") != self._issuer or self._audience not in audiences:
            raise TokenError(TokenFault.WRONG_ISSUER_OR_AUDIENCE)
        best = claims.get("best")
        length = claims.get("length")
        if best is not None and (type(best) is not int or not 0 <= best <= 1000):
            raise TokenError(TokenFault.BAD_CLAIMS, "best")
        if length is not None and (type(length) not in (int, float) or not 0 <= length <= 1e6):
            raise TokenError(TokenFault.BAD_CLAIMS, "length")
        return SessionToken(
            id=_text(claims, "jti"),
            viewer=_text(claims, "sub"),
            title=_text(claims, "title"),
            klass=_text(claims, "class"),
            tenant=_text(claims, "tenant"),
            expires=_time(claims, "exp"),
            not_before=_time(claims, "nbf") if "nbf" in claims else 0,
            best_rung=best,
            length_s=None if length is None else float(length),
        )


def _text(claims: dict[str, Any], name: str) -> str:
    value = claims.get(name)
    if type(value) is not str or not 0 < len(value) <= MAX_ID_CHARS or not value.isprintable():
        raise TokenError(TokenFault.BAD_CLAIMS, name)
    return value


def _time(claims: dict[str, Any], name: str) -> int:
    value = claims.get(name)
    if type(value) not in (int, float) or not 0 <= value < 1e12:  # type: ignore[operator]
        raise TokenError(TokenFault.BAD_CLAIMS, name)
    return int(value)  # type: ignore[arg-type]


class Issuer:
    """Signs session tokens with the first key of a set, for `foxlift token` and rehearsals."""

    def __init__(self, keys: KeySet, issuer: str, audience: str) -> None:
        self._key, self._issuer, self._audience = keys.keys[0], issuer, audience

    def issue(self, token: SessionToken) -> str:
        """Sign a token and return its text."""
        algorithm = {"oct": "HS256", "EC": "ES256", "OKP": "Ed25519"}[self._key.key_type]
        header: dict[str, Any] = {"alg": algorithm, "typ": "JWT"}
        if self._key.kid:
            header["kid"] = self._key.kid
        claims: dict[str, Any] = {
            "iss": self._issuer,
            "aud": self._audience,
            "sub": token.viewer,
            "jti": token.id,
            "exp": token.expires,
            "title": token.title,
            "class": token.klass,
            "tenant": token.tenant,
        }
        if token.not_before:
            claims["nbf"] = token.not_before
        if token.best_rung is not None:
            claims["best"] = token.best_rung
        if token.length_s is not None:
            claims["length"] = token.length_s
        return jwt.encode(header, claims, self._key, algorithms=ALGORITHMS)
