"""`jacinthcroft explain`: prints what happened to one request."""

import argparse
import sys
from urllib.parse import quote

from attrs import frozen

from jacinthcroft_cli.internal.operator_ports import (
    OperatorPorts,
    QueryResult,
    TextResponse,
    Unreachable,
)
from jacinthcroft_cli.internal.registry import Command, ExitCode, register
from jacinthcroft_cli.internal.text_tables import format_table
from jacinthcroft_cli.internal.vm_arguments import add_vm_arguments
from jacinthcroft_cli.internal.vm_reports import RequestTrace, read_report


@register('explain', 'Tell what the VMs did with one request.')
@frozen
class ExplainCommand(Command):
    """Queries VMs for the trace of one request."""

    request_id: str
    ports: OperatorPorts

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the request and the VMs to query."""
        parser.add_argument(
            'request_id',
            metavar='REQUEST-ID',
            help='the X-Request-Id of an answer or a refusal',
        )
        add_vm_arguments(parser)

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> 'ExplainCommand':
        """Returns the command for parsed arguments."""
        ports = OperatorPorts(arguments.addresses, arguments.timeout)
        return cls(arguments.request_id, ports)

    def run(self) -> ExitCode:
        """Prints the trace of each VM that knows the request.

        The request counts as unknown only if every VM answered.
        """
        results = self.ports.query(
            f'/explain/{quote(self.request_id, safe="")}'
        )
        outcomes = [_read_result(query_result) for query_result in results]
        traces = [trace for trace in outcomes if isinstance(trace, str)]
        unreachable = [vm for vm in outcomes if isinstance(vm, Unreachable)]
        if traces:
            print('\n\n'.join(traces))
        else:
            print(f'no VM that answered knows {self.request_id}')
        for vm in unreachable:
            print(f'UNREACHABLE {vm.address}: {vm.reason}', file=sys.stderr)
        return _choose_exit_code(
            is_found=bool(traces), has_unreachable=bool(unreachable)
        )


def _read_result(query_result: QueryResult) -> str | Unreachable | None:
    """Returns the trace as text; None if the VM does not know the request."""
    if isinstance(query_result, Unreachable):
        return query_result
    if not isinstance(query_result, TextResponse):
        return None
    trace = read_report(query_result, RequestTrace)
    if isinstance(trace, Unreachable):
        return trace
    rows = [
        (f'{step.at_ms:.1f}', step.event, step.detail) for step in trace.events
    ]
    heading = ('MILLISECONDS', 'EVENT', 'DETAIL')
    return f'{query_result.address}\n{format_table(heading, rows)}'


def _choose_exit_code(*, is_found: bool, has_unreachable: bool) -> ExitCode:
    if is_found:
        return ExitCode.OK
    return ExitCode.UNREACHABLE if has_unreachable else ExitCode.NEGATIVE
