"""HTTP/1.1 server and client as asyncio protocols on httptools, with limits for each peer."""

from foxlift.http.client import Call, Failure, FailureKind, Pool, PoolLimits, Response
from foxlift.http.cors import Cors
from foxlift.http.exchange import Exchange, ResponseStream
from foxlift.http.messages import Headers, Limits, Request, header, problem
from foxlift.http.named_pools import JSON_HEADERS, NamedPools
from foxlift.http.server import Server

__all__ = [
    "JSON_HEADERS",
    "Call",
    "Cors",
    "Exchange",
    "Failure",
    "FailureKind",
    "Headers",
    "Limits",
    "NamedPools",
    "Pool",
    "PoolLimits",
    "Request",
    "Response",
    "ResponseStream",
    "Server",
    "header",
    "problem",
]
