"""The base exception of the project and the exceptions that are shown to users."""

from collections.abc import Sequence

from redwingscale_common.finding import Finding


class RedwingscaleError(Exception):
    """Base class of all exceptions that the project raises."""


class UserFacingError(RedwingscaleError):
    """An error shown to a user.

    ``message`` says what failed, ``context`` where, and ``hint`` how to resolve it.
    """

    def __init__(self, message: str, *, context: str = "", hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.context = context
        self.hint = hint

    def __str__(self) -> str:
        parts = [f"{self.context}: " if self.context else "", self.message]
        if self.hint:
            parts.append(f" ({self.hint})")
        return "".join(parts)


class FindingError(UserFacingError):
    """A finding of a check as an exception, so that it can be a member of a group."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(finding.message, context=finding.place, hint=finding.hint)
        self.finding = finding


class CheckFailed(ExceptionGroup[FindingError]):
    """Raised with all findings of a checked text."""

    @classmethod
    def from_findings(cls, subject: str, findings: Sequence[Finding]) -> "CheckFailed":
        """Return the exception for the ``findings`` in ``subject``; there must be at least one."""
        return cls(f"{subject} is not valid", [FindingError(f) for f in findings])

    @property
    def findings(self) -> list[Finding]:
        """The findings in the order in which they were found."""
        return [e.finding for e in self.exceptions if isinstance(e, FindingError)]
