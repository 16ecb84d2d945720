"""Session tokens: signed JWTs (RFC 7519) that say who may play which title in which class."""

from foxlift.tokens.session import Issuer, SessionToken, TokenError, TokenFault, Verifier, load_keys

__all__ = ["Issuer", "SessionToken", "TokenError", "TokenFault", "Verifier", "load_keys"]
