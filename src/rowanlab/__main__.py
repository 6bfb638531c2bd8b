"""Entry point for ``python -m rowanlab``."""

from rowanlab.cli import main

main()
