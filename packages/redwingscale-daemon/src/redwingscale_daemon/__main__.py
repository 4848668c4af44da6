"""Entry point of ``redwingscaled``."""


def main() -> None:
    """Run the command line of the daemon."""
    from redwingscale_daemon._internal.cli import app

    app()


if __name__ == "__main__":
    main()
