"""Errors that the client shows to its user, each with its exit code."""

from redwingscale_common.exceptions import UserFacingError

from redwingscale_cli._internal.cli import status_codes


class ClientError(UserFacingError):
    """Root of the client's errors; ``exit_code`` is what the process ends with."""

    exit_code = status_codes.REFUSED


class Unreachable(ClientError):
    """No answer from the instance."""

    exit_code = status_codes.UNREACHABLE


class Refused(ClientError):
    """The instance answered that it will not do it."""

    exit_code = status_codes.REFUSED


class VersionConflict(ClientError):
    """Another operator's version came first."""

    exit_code = status_codes.CONFLICT


class UsageError(ClientError):
    """Arguments that do not fit together."""

    exit_code = status_codes.USAGE
