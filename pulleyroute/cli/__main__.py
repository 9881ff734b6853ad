"""`python -m pulleyroute.cli` is the `pulleyroute` command."""

from pulleyroute.cli import main

main()
