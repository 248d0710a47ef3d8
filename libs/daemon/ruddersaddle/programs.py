"""Entry point of the executable: applies eventlet's monkey patching before other imports."""

import sys

import ruddersaddle_base  # noqa: F401  (suppresses the warning of the next import)

SERVE = "serve"


def main() -> None:
    """Run one command; only `serve` runs on eventlet's green threads."""
    if len(sys.argv) > 1 and sys.argv[1] == SERVE:
        import eventlet

        eventlet.monkey_patch()
    from ruddersaddle.commands import run

    run()


if __name__ == "__main__":
    main()
