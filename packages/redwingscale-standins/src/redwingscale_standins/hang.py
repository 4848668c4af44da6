"""Ends the connection of the current request without an answer."""

import socket

import cherrypy


def drop_connection() -> None:
    """Shut the caller's socket so that it sees a reset in place of an answer."""
    raw = caller_socket()
    if raw is not None:
        raw.shutdown(socket.SHUT_RDWR)
    raise cherrypy.HTTPError(500, "connection dropped")


def caller_socket() -> socket.socket | None:
    """Return the socket of the current request's caller."""
    return _socket_of(cherrypy.request.wsgi_environ["wsgi.input"].rfile)


def _socket_of(reader: object) -> socket.socket | None:
    for name in ("rfile", "raw", "_sock"):
        inner = getattr(reader, name, None)
        if isinstance(inner, socket.socket):
            return inner
        if inner is not None:
            found = _socket_of(inner)
            if found is not None:
                return found
    return None
