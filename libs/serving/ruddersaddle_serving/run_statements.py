"""What upstreams' answers state on whether their requests ran, and counts of the refusals."""

from collections import Counter
from collections.abc import Iterator
from enum import Enum

import msgspec


class RunStatement(Enum):
    """What an answer states on whether its request ran."""

    NONE = "none"
    NOT_RUN = "not_run"
    CONTRADICTED = "contradicted"
    """It states that its request has not run, but not in the way that the protocol defines, or
    beside something that shows that it ran. Nothing can be concluded from such an answer."""


class RefusalBasis(msgspec.Struct, frozen=True):
    """What the conclusion rests on that an upstream has not run a request."""

    status: int
    statement: RunStatement
    has_receipt: bool
    on_new_connection: bool

    def __str__(self) -> str:
        receipt = "with a receipt" if self.has_receipt else "without a receipt"
        connection = "new" if self.on_new_connection else "kept"
        return (
            f"status {self.status} {receipt}, statement {self.statement.value}, "
            f"on a {connection} connection"
        )


class RefusalCounts:
    """Numbers of refusals by upstreams, by what they rest on."""

    def __init__(self) -> None:
        self._count_by_basis: Counter[RefusalBasis] = Counter()

    def record(self, basis: RefusalBasis) -> None:
        """Count a refusal."""
        self._count_by_basis[basis] += 1

    def rows(self) -> Iterator[tuple[dict[str, str], float]]:
        """Yield the labels and the value of each counter of the metrics page."""
        for basis, count in self._count_by_basis.items():
            labels = {
                "status": str(basis.status),
                "statement": basis.statement.value,
                "receipt": "yes" if basis.has_receipt else "no",
                "connection": "new" if basis.on_new_connection else "kept",
            }
            yield labels, count
