"""`jacinthcroft status`: what the VMs of a fleet are doing."""

import argparse
import json

import cattrs
from attrs import frozen

from jacinthcroft_cli.internal.operator_ports import (
    Answer,
    NotFound,
    OperatorPorts,
    Reply,
    Unreachable,
)
from jacinthcroft_cli.internal.registry import Command, ExitCode, register
from jacinthcroft_cli.internal.status_view import FleetStatus, view_status
from jacinthcroft_cli.internal.vm_arguments import add_vm_arguments
from jacinthcroft_cli.internal.vm_reports import VmReport, read_report


@register('status', 'Show what VMs, teams and targets are doing.')
@frozen
class StatusCommand(Command):
    """Asks VMs for their status and shows them together."""

    ports: OperatorPorts
    is_json: bool

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the VMs to ask."""
        add_vm_arguments(parser)
        parser.add_argument(
            '--json',
            action='store_true',
            help='print JSON for a program instead of tables',
        )

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> 'StatusCommand':
        """Reads the command from parsed arguments."""
        ports = OperatorPorts(arguments.addresses, arguments.timeout)
        return cls(ports, arguments.json)

    def run(self) -> ExitCode:
        """Prints the status of every VM that answered, and the others."""
        outcomes = [_read_reply(reply) for reply in self.ports.ask('/status')]
        status = FleetStatus.from_outcomes(outcomes)
        if self.is_json:
            print(json.dumps(cattrs.unstructure(status), indent=2))
        else:
            print(view_status(status))
        return ExitCode.UNREACHABLE if status.unreachable else ExitCode.OK


def _read_reply(reply: Reply) -> VmReport | Unreachable:
    if isinstance(reply, Answer):
        return read_report(reply, VmReport)
    if isinstance(reply, NotFound):
        return Unreachable(reply.address, 'no operator port of a VM')
    return reply
