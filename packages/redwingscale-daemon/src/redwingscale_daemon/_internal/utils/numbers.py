"""Whole numbers in text that other processes write."""

import re

# Larger numbers do not fit into the 64 bits of messages.
_DIGITS = re.compile(r"[0-9]{1,19}")


def parse_number(text: str) -> int | None:
    """Return the number that ``text`` holds, None if it is not 1 to 19 digits.

    `int` accepts signs, underscores, blanks and digits of other scripts, `str.isdigit` accepts
    characters that `int` refuses, and `int` refuses thousands of digits.
    """
    return int(text) if _DIGITS.fullmatch(text) else None
