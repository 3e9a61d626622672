"""Entry point of the operators' client ``poplarlug``."""

import fire

from poplarlug.operators.commands import Commands


def main() -> None:
    """Run ``poplarlug``."""
    fire.Fire(Commands, name="poplarlug")
