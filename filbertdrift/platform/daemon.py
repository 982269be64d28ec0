"""The command that runs a node: handles signals, then loads the rest."""

from filbertdrift.stopping.early import handle_early_signals


def main() -> None:
    """Run one node with the settings file that the environment names."""
    handle_early_signals()
    # Most of the start is this import, and a signal may arrive during it.
    from filbertdrift.platform import process

    process.run()


if __name__ == '__main__':
    main()
