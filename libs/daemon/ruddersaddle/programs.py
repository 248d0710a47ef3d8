"""Entry point of the executable: makes the daemon's process green before anything is imported."""

import sys

import ruddersaddle_base  # noqa: F401  (quiets the notice that the next import would print)

SERVE = "serve"


def main() -> None:
    """Run one command; only `serve` runs on green threads."""
    if len(sys.argv) > 1 and sys.argv[1] == SERVE:
        import eventlet

        eventlet.monkey_patch()
    from ruddersaddle.commands import run

    run()


if __name__ == "__main__":
    main()
