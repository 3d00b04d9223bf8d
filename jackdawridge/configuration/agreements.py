"""Counts of open work by agreement version."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple


class AgreementVersion(NamedTuple):
    """A version of an agreement under which a job is admitted."""

    agreement: str
    version: int


class OpenWorkCounter:
    """Counts the open jobs of this process by version."""

    def __init__(self) -> None:
        """Initialize with no open work."""
        self.counts: Counter[AgreementVersion] = Counter()

    def add(self, agreement_version: AgreementVersion) -> None:
        """Increment the count of a version.

        :param agreement_version: the version that new work was admitted under.
        """
        self.counts[agreement_version] += 1

    def remove(self, agreement_version: AgreementVersion) -> None:
        """Decrement the count of a version, at the lowest to 0.

        :param agreement_version: the version whose work has ended.
        """
        if self.counts[agreement_version] > 1:
            self.counts[agreement_version] -= 1
        else:
            self.counts.pop(agreement_version, None)

    def count(self, agreement_version: AgreementVersion) -> int:
        """Return the number of open jobs under a version.

        :param agreement_version: the version to look up.
        """
        return self.counts.get(agreement_version, 0)
