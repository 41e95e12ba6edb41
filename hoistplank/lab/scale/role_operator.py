"""What a configuration costs where it is checked: an operator's file through its real reader and checks."""

from __future__ import annotations

from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.metering import Effort, Quantity, Step, kept_bytes, processor_us, series
from hoistplank.program.sections import parse_file

ROLE = "operator"
TENANTS = (25, 50, 100, 200)
FILE = "operator.sexp"


def tenants_file(count: int) -> bytes:
    """An operator's file that lets so many tenants call."""
    tenants = [
        f'  (tenant t{number} (subjects "https://id.example" (names t{number}-*))\n'
        f"    (names uri:example:t{number}) (rights read book purge) (rate 400/s) (open-visits 400))"
        for number in range(count)
    ]
    head = '(callers\n  (tokens (issuer "https://id.example" (keys "ring.json") (audience "example")))\n'
    return (head + "\n".join(tenants) + ")\n").encode()


def _build_grammar() -> None:
    """The first check of a process builds the grammar, which is no cost of a configuration."""
    parse_file(tenants_file(1), FILE)


def _checking(effort: Effort) -> list[Measurement]:
    quantity = Quantity(ROLE, "processor time of checking a configuration", "us", "tenants")

    def value(count: int) -> float:
        data = tenants_file(count)
        return processor_us(lambda: parse_file(data, FILE))

    _build_grammar()
    return series(quantity, effort.sizes(TENANTS), effort.repeats, value)


def _size(effort: Effort) -> list[Measurement]:
    size = Quantity(ROLE, "bytes of a configuration", "B", "tenants")
    memory = Quantity(ROLE, "memory of a checked configuration", "B", "tenants")

    def held(count: int) -> float:
        data = tenants_file(count)
        return kept_bytes(lambda: parse_file(data, FILE))[1]

    _build_grammar()
    found = series(size, effort.sizes(TENANTS), 1, lambda count: len(tenants_file(count)))
    return found + series(memory, effort.sizes(TENANTS), effort.slow_repeats, held)


STEPS = (
    Step(ROLE, "checking a configuration", _checking),
    Step(ROLE, "size of a configuration", _size),
)
