"""Runs one dispatcher: python -m hoistplank, with EDGE_CONFIG naming its configuration file.

HOISTPLANK_OPERATOR may name the operator file; without it none of the optional subsystems is imported.
"""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoistplank.program.configuration import Configuration
    from hoistplank.program.extension_protocol import Extensions

DESCRIPTORS_WAIT_S, DESCRIPTORS_RETRY_S = 2.0, 0.05


def main() -> int:
    """Runs the dispatcher until it ends; returns the exit code, as docs/on-call.md lists them."""
    # Without a handler a SIGHUP ends the process, so one is installed before the imports. Signals that arrive
    # during the start are recorded and handled once the service runs.
    early_signals: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))

    import os

    from hoistplank.program.configuration import DispatcherConfigurationError, read_configuration
    from hoistplank.program.logging_setup import configure_logging

    extensions: Extensions | None = None
    log_format = os.environ.get("HOISTPLANK_LOG", "lines")
    try:
        configuration = read_configuration(os.environ)
        if log_format not in ("lines", "json"):
            raise DispatcherConfigurationError(
                f"HOISTPLANK_LOG: '{log_format[:20]}' is neither 'lines' nor 'json'"
            )
        if file := os.environ.get("HOISTPLANK_OPERATOR", ""):
            from hoistplank.program.extensions import load_extensions

            extensions = load_extensions(file, configuration)
            log_format = os.environ.get("HOISTPLANK_LOG", extensions.log_format)
    except DispatcherConfigurationError as error:
        print(f"hoistplank: {error}", file=sys.stderr)
        return 2
    configure_logging(configuration.name, log_format)
    return _serve(configuration, early_signals, extensions)


def _wait_for_descriptors() -> None:
    """Waits up to DESCRIPTORS_WAIT_S while the system has no free descriptors or buffers for the start."""
    import errno
    import socket
    import time

    transient_errors = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
    deadline = time.monotonic() + DESCRIPTORS_WAIT_S
    while time.monotonic() < deadline:
        try:
            sock = socket.socket()
        except OSError as error:
            if error.errno not in transient_errors:
                return
            time.sleep(DESCRIPTORS_RETRY_S)
        else:
            sock.close()
            return


def _serve(configuration: Configuration, early_signals: list[int], extensions: Extensions | None) -> int:
    import asyncio
    import os

    import structlog
    import uvloop

    from hoistplank.program.configuration import reread_configuration
    from hoistplank.program.service import Service

    _wait_for_descriptors()

    async def run_service() -> int:
        service = Service(configuration, lambda: reread_configuration(os.environ), early_signals, extensions)
        return await service.run()

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run_service())
    except OSError as error:
        structlog.get_logger().error("can't listen", address=configuration.listen, wrong=str(error))
        return 1


if __name__ == "__main__":
    sys.exit(main())
