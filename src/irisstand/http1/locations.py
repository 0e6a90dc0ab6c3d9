"""Normalizes hosts and paths for routes, caches, purges and the validation of the configuration.

Requests to origins are not normalized: they keep the host and path as the client spelled them.
"""

import functools
import re

_PORT = re.compile(r":[0-9]*\Z")
_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
# Unreserved characters, which mean the same with and without percent-encoding (RFC 3986, section 2.3).
_UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
# The number of hosts whose normal form is cached.
_CACHED_HOSTS = 1024


@functools.lru_cache(_CACHED_HOSTS)
def normal_host(host: str) -> str:
    """Return a host in lower case, without its port and its trailing dot (RFC 3986, section 6.2).

    >>> normal_host("Shop.Example.:8080"), normal_host("[::1]:80"), normal_host("[::1]")
    ('shop.example', '[::1]', '[::1]')
    """
    return _PORT.sub("", host).lower().removesuffix(".")


def normal_path(path: str) -> str:
    """Return a path without its query and with percent-encoding only where it is needed.

    >>> normal_path("/%7Euser/a%2fb?c"), normal_path("/~user/a%2Fb")
    ('/~user/a%2Fb', '/~user/a%2Fb')
    """
    path = path.partition("?")[0]
    return _ESCAPE.sub(_normal_escape, path) if "%" in path else path


def _normal_escape(found: re.Match[str]) -> str:
    character = chr(int(found[1], 16))
    return character if character in _UNRESERVED else found[0].upper()


def location(host: str, path: str) -> str:
    """Return the normal form of a host and path, as one text that names an object."""
    return normal_host(host) + normal_path(path)
