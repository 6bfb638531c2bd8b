"""Entry point for ``python -m rowanrail``."""

from rowanrail.cli.main import main

main()
