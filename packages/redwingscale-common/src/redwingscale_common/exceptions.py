"""The root error of the project and the errors that reach a person."""

from collections.abc import Sequence

from redwingscale_common.finding import Finding


class RedwingscaleError(Exception):
    """Root of every error that the project raises on purpose."""


class UserFacingError(RedwingscaleError):
    """An error shown to a person: what happened, where, and what to do."""

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
    """One finding of a check, as a member of an exception group."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(finding.message, context=finding.place, hint=finding.hint)
        self.finding = finding


class CheckFailed(ExceptionGroup[FindingError]):
    """All findings of one checked text, raised together."""

    @classmethod
    def from_findings(cls, subject: str, findings: Sequence[Finding]) -> "CheckFailed":
        """Wrap ``findings``, which must not be empty, of the text ``subject``."""
        return cls(f"{subject} is not valid", [FindingError(f) for f in findings])

    @property
    def findings(self) -> list[Finding]:
        """The findings in the order of their detection."""
        return [e.finding for e in self.exceptions if isinstance(e, FindingError)]
