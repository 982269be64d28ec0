"""Runs the command line."""

from filbertdrift.cli import main

main()
