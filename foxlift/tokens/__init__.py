"""Session tokens: signed JWTs (RFC 7519) that state which viewer may play which title in which class."""

from foxlift.tokens.session import Issuer, SessionToken, TokenError, TokenFault, Verifier, load_keys

__all__ = ["Issuer", "SessionToken", "TokenError", "TokenFault", "Verifier", "load_keys"]
