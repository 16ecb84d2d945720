"""Session tokens: round trip, every way to be wrong, and no token text in an error."""

from __future__ import annotations

import base64
import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from joserfc.jwk import ECKey, KeySet, OctKey

from foxlift.tokens import Issuer, SessionToken, TokenError, TokenFault, Verifier, load_keys

KEYS = KeySet([OctKey.import_key("a-key-for-tests-that-is-32-bytes", {"kid": "one"})])
TOKEN = SessionToken("t1", "viewer", "title", "graded", "tenant", 2_000_000_000, 10, 2, 31.5)
VERIFIER = Verifier(KEYS, "issuer", "foxlift")
TEXT = Issuer(KEYS, "issuer", "foxlift").issue(TOKEN)


def fault_of(text: str) -> TokenFault:
    with pytest.raises(TokenError) as caught:
        VERIFIER.verify(text)
    for part in text.split("."):
        assert len(part) < 5 or part not in str(caught.value)
    return caught.value.fault


def part(value: object) -> str:
    return base64.urlsafe_b64encode(json.dumps(value).encode()).rstrip(b"=").decode()


@pytest.mark.parametrize("key", [KEYS.keys[0], ECKey.generate_key("P-256", {"kid": "e"})])
def test_what_is_issued_verifies(key: OctKey | ECKey) -> None:
    keys = KeySet([key])
    text = Issuer(keys, "issuer", "foxlift").issue(TOKEN)
    assert Verifier(keys, "issuer", "foxlift").verify(text) == TOKEN


def test_expiry_is_told_apart_from_validity() -> None:
    VERIFIER.verify(TEXT).check_time(1_999_999_999, 2)
    VERIFIER.verify(TEXT).check_time(2_000_000_001, 2)
    with pytest.raises(TokenError) as late:
        TOKEN.check_time(2_000_000_002, 2)
    with pytest.raises(TokenError) as early:
        TOKEN.check_time(7, 2)
    assert (late.value.fault, early.value.fault) == (TokenFault.EXPIRED, TokenFault.NOT_YET_VALID)


def test_every_way_to_be_wrong_is_told_apart() -> None:
    head, body, signature = TEXT.split(".")
    other = KeySet([OctKey.generate_key(256, {"kid": "one"})])
    assert fault_of("") is TokenFault.MISSING
    assert fault_of("x" * 5000) is TokenFault.TOO_LARGE
    assert fault_of("a.b") is TokenFault.MALFORMED
    assert fault_of(f"{part({'alg': 'none'})}.{body}.") is TokenFault.MALFORMED
    assert fault_of(Issuer(other, "issuer", "foxlift").issue(TOKEN)) is TokenFault.BAD_SIGNATURE
    assert fault_of(f"{head}.{part({'iss': 'issuer'})}.{signature}") is TokenFault.BAD_SIGNATURE
    assert fault_of(Issuer(KEYS, "someone", "foxlift").issue(TOKEN)) is TokenFault.WRONG_ISSUER_OR_AUDIENCE
    assert fault_of(Issuer(KEYS, "issuer", "elsewhere").issue(TOKEN)) is TokenFault.WRONG_ISSUER_OR_AUDIENCE
    unknown = KeySet([OctKey.generate_key(256, {"kid": "two"})])
    assert fault_of(Issuer(unknown, "issuer", "foxlift").issue(TOKEN)) is TokenFault.WRONG_ISSUER_OR_AUDIENCE
    blank = SessionToken("", "viewer", "title", "graded", "tenant", 2_000_000_000)
    assert fault_of(Issuer(KEYS, "issuer", "foxlift").issue(blank)) is TokenFault.BAD_CLAIMS
    line = SessionToken("a\nb", "viewer", "title", "graded", "tenant", 2_000_000_000)
    assert fault_of(Issuer(KEYS, "issuer", "foxlift").issue(line)) is TokenFault.BAD_CLAIMS


@given(st.binary(max_size=300), st.integers(0, len(TEXT) - 1))
def test_no_damaged_token_verifies(noise: bytes, at: int) -> None:
    damaged = TEXT[:at] + noise.decode("latin-1") + TEXT[at + 1 :]
    try:
        # a change in the spare bits of the last character may leave the bytes as they were
        assert VERIFIER.verify(damaged) == TOKEN
        assert at == len(TEXT) - 1 or damaged == TEXT
    except TokenError as error:
        assert error.fault is not TokenFault.MISSING


def test_a_bad_key_file_is_named_without_its_content(tmp_path: Path) -> None:
    path = tmp_path / "keys.json"
    with pytest.raises(ValueError, match="keys cannot be read"):
        load_keys(path)
    path.write_text('{"keys": [{"kty": "oct", "k": 7, "secret": "hush"}]}')
    with pytest.raises(ValueError, match="not a JWK set") as caught:
        load_keys(path)
    assert "hush" not in str(caught.value)
    path.write_text('{"keys": []}')
    with pytest.raises(ValueError, match=r"empty|not a JWK set"):
        load_keys(path)
