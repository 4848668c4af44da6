"""Errors that the client shows to its user, with their exit codes."""

from redwingscale_common.exceptions import UserFacingError

from redwingscale_cli._internal.cli import status_codes


class ClientError(UserFacingError):
    """Base class of the client's errors; the process exits with ``exit_code``."""

    exit_code = status_codes.REFUSED


class Unreachable(ClientError):
    """The instance did not respond."""

    exit_code = status_codes.UNREACHABLE


class Refused(ClientError):
    """The instance refused the request."""

    exit_code = status_codes.REFUSED


class VersionConflict(ClientError):
    """Another operator applied a version first."""

    exit_code = status_codes.CONFLICT


class UsageError(ClientError):
    """The arguments are invalid."""

    exit_code = status_codes.USAGE
