"""Entry point of the ``redwingscale`` command."""


def main() -> None:
    """Run the operators' command line."""
    from redwingscale_cli._internal.cli.app import app

    app()


if __name__ == "__main__":
    main()
