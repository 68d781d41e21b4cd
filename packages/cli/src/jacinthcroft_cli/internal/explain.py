"""`jacinthcroft explain`: what happened to one request."""

import argparse
import sys
from urllib.parse import quote

from attrs import frozen

from jacinthcroft_cli.internal.operator_ports import (
    Answer,
    OperatorPorts,
    Reply,
    Unreachable,
)
from jacinthcroft_cli.internal.registry import Command, ExitCode, register
from jacinthcroft_cli.internal.text_tables import lay_out
from jacinthcroft_cli.internal.vm_arguments import add_vm_arguments
from jacinthcroft_cli.internal.vm_reports import RequestTrace, read_report


@register('explain', 'Tell what the VMs did with one request.')
@frozen
class ExplainCommand(Command):
    """Asks VMs for the steps of one request."""

    request_id: str
    ports: OperatorPorts

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the request and the VMs to ask."""
        parser.add_argument(
            'request_id',
            metavar='REQUEST-ID',
            help='the X-Request-Id of an answer or a refusal',
        )
        add_vm_arguments(parser)

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> 'ExplainCommand':
        """Reads the command from parsed arguments."""
        ports = OperatorPorts(arguments.addresses, arguments.timeout)
        return cls(arguments.request_id, ports)

    def run(self) -> ExitCode:
        """Prints the steps on each VM that knows the request.

        Not known is a finding only when every VM was asked.
        """
        replies = self.ports.ask(f'/explain/{quote(self.request_id, safe="")}')
        outcomes = [_read_reply(reply) for reply in replies]
        traces = [found for found in outcomes if isinstance(found, str)]
        missing = [
            found for found in outcomes if isinstance(found, Unreachable)
        ]
        if traces:
            print('\n\n'.join(traces))
        else:
            print(f'no VM that answered knows {self.request_id}')
        for vm in missing:
            print(f'UNREACHABLE {vm.address}: {vm.reason}', file=sys.stderr)
        return _exit_code(is_found=bool(traces), is_missing=bool(missing))


def _read_reply(reply: Reply) -> str | Unreachable | None:
    """Returns the steps as text; None when the VM does not know them."""
    if isinstance(reply, Unreachable):
        return reply
    if not isinstance(reply, Answer):
        return None
    trace = read_report(reply, RequestTrace)
    if isinstance(trace, Unreachable):
        return trace
    rows = [
        (f'{step.at_ms:.1f}', step.event, step.detail) for step in trace.events
    ]
    heading = ('MILLISECONDS', 'EVENT', 'DETAIL')
    return f'{reply.address}\n{lay_out(heading, rows)}'


def _exit_code(*, is_found: bool, is_missing: bool) -> ExitCode:
    if is_found:
        return ExitCode.OK
    return ExitCode.UNREACHABLE if is_missing else ExitCode.NEGATIVE
