"""`jacinthcroft status`: prints the status of the VMs of a fleet."""

import argparse
import json

import cattrs
from attrs import frozen

from jacinthcroft_cli.internal.operator_ports import (
    NotFound,
    OperatorPorts,
    QueryResult,
    TextResponse,
    Unreachable,
)
from jacinthcroft_cli.internal.registry import Command, ExitCode, register
from jacinthcroft_cli.internal.status_view import FleetStatus, format_status
from jacinthcroft_cli.internal.vm_arguments import add_vm_arguments
from jacinthcroft_cli.internal.vm_reports import VmReport, read_report


@register('status', 'Show what VMs, teams and targets are doing.')
@frozen
class StatusCommand(Command):
    """Queries VMs for their status and prints it in common tables."""

    ports: OperatorPorts
    prints_json: bool

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the VMs to query and the format of the output."""
        add_vm_arguments(parser)
        parser.add_argument(
            '--json',
            action='store_true',
            help='print JSON for a program instead of tables',
        )

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> 'StatusCommand':
        """Returns the command for parsed arguments."""
        ports = OperatorPorts(arguments.addresses, arguments.timeout)
        return cls(ports, arguments.json)

    def run(self) -> ExitCode:
        """Prints the status of each VM, and the VMs that could not be read."""
        outcomes = [
            _read_result(query_result)
            for query_result in self.ports.query('/status')
        ]
        status = FleetStatus.from_outcomes(outcomes)
        if self.prints_json:
            print(json.dumps(cattrs.unstructure(status), indent=2))
        else:
            print(format_status(status))
        return ExitCode.UNREACHABLE if status.unreachable else ExitCode.OK


def _read_result(query_result: QueryResult) -> VmReport | Unreachable:
    if isinstance(query_result, TextResponse):
        return read_report(query_result, VmReport)
    if isinstance(query_result, NotFound):
        return Unreachable(query_result.address, 'no operator port of a VM')
    return query_result
