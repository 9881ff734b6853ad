"""The `pulleyroute` command with its subcommands, each of which has a module of its own."""

from __future__ import annotations

import typer

from pulleyroute.cli import campaign, check, demo, emulate, fleet, load, release, serve, version

app = typer.Typer(
    name="pulleyroute",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode="markdown",
    help="A dispatcher that hands jobs and gRPC calls to instances, keeping four rules whatever fails.\n\n"
    "Exit status: 0 done, 2 usage or configuration, 1 anything else.",
    epilog="Examples:\n\n`pulleyroute check site.hcl`\n\n"
    "`pulleyroute serve --config site.hcl --log-format json`",
)
app.command("serve", help=serve.HELP, epilog=serve.EXAMPLES)(serve.run)
app.command("check", help=check.HELP, epilog=check.EXAMPLES)(check.run)
app.command("demo", help=demo.HELP, epilog=demo.EXAMPLES)(demo.run)
app.command("load", help=load.HELP, epilog=load.EXAMPLES)(load.run)
app.add_typer(emulate.app, name="emulate")
app.add_typer(fleet.app, name="fleet")
app.add_typer(release.app, name="release")
app.add_typer(campaign.app, name="campaign")
app.command("version", help=version.HELP)(version.run)
