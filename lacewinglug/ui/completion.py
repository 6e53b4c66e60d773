"""The command that prints a shell completion script."""

import click
from click.shell_completion import get_completion_class


@click.command(epilog="Example: lacewinglug completion bash > lacewinglug.bash")
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(ctx: click.Context, shell: str) -> None:
    """Print the completion script of SHELL."""
    root = ctx.find_root()
    completion_class = get_completion_class(shell)
    if completion_class is None:
        raise click.UsageError(f"no completion for {shell}")
    script = completion_class(
        root.command, {}, "lacewinglug", "_LACEWINGLUG_COMPLETE"
    ).source()
    click.echo(script)
