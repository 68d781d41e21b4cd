"""Tests that `status` and `explain` show reports and name unreachable VMs."""

import json
import socket
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from jacinthcroft_cli.main import main
from syrupy.assertion import SnapshotAssertion

Capture = pytest.CaptureFixture[str]

VM = {
    'vm': 'vm-01',
    'zone': 'muc1',
    'state': 'live',
    'list_revision': 12,
    'configuration_revision': 40,
    'configuration_age_seconds': 1.25,
    'is_fresh': True,
    'leases': 3,
    'permits': 17,
    'teams': [
        {'team': 'app', 'service': 'history', 'answered': 900, 'refused': 2},
    ],
    'targets': [
        {
            'service': 'history',
            'target': 'history-01',
            'state': 'active',
            'running': 1,
            'allowed': 2,
        },
    ],
    'refusals': [{'reason': 'rate-exceeded', 'count': 2}],
}
OTHER_VM = {
    **VM,
    'vm': 'vm-2',
    'is_fresh': False,
    'targets': [
        {
            'service': 'history',
            'target': 'history-01',
            'state': 'ejected',
            'running': 0,
            'allowed': 0,
        },
    ],
}
TRACE = {
    'request_id': 'a/b',
    'events': [
        {'at_ms': 0, 'event': 'received', 'detail': 'GET /pots/7/history'},
        {'at_ms': 12.345, 'event': 'answered', 'detail': '200\u001b[31m'},
    ],
}


class OperatorPort(BaseHTTPRequestHandler):
    """Responds like the operator port of a VM."""

    def do_GET(self) -> None:
        """Sends the server's text for the path, or status 404."""
        assert isinstance(self.server, VmServer)
        text = self.server.answers.get(self.path)
        self.send_response(404 if text is None else 200)
        self.end_headers()
        self.wfile.write((text or '').encode())

    def log_message(self, *_: object) -> None:
        """Keeps the test's output free of access logs."""


class VmServer(ThreadingHTTPServer):
    """One VM's operator port on a free port."""

    def __init__(self, answers: dict[str, str]) -> None:
        """Binds the server to a free port of 127.0.0.1."""
        super().__init__(('127.0.0.1', 0), OperatorPort)
        self.answers = answers
        self.text = f'127.0.0.1:{self.server_port}'


@pytest.fixture(name='vms')
def _vms() -> Iterator[list[VmServer]]:
    """Yields two VMs, the first of which knows the request `a/b`."""
    trace = json.dumps(TRACE)
    vms = [
        VmServer({'/status': json.dumps(VM), '/explain/a%2Fb': trace}),
        VmServer({'/status': json.dumps(OTHER_VM)}),
    ]
    for vm in vms:
        threading.Thread(target=vm.serve_forever, daemon=True).start()
    yield vms
    for vm in vms:
        vm.shutdown()
        vm.server_close()


@pytest.fixture(name='closed')
def _closed() -> Iterator[str]:
    """Yields an address on which nothing listens.

    The bound socket keeps other processes from the port.
    """
    with socket.socket() as bound:
        bound.bind(('127.0.0.1', 0))
        yield f'127.0.0.1:{bound.getsockname()[1]}'


def test_status_shows_all_vms_in_common_tables(
    vms: list[VmServer],
    capsys: Capture,
    snapshot: SnapshotAssertion,
) -> None:
    assert main(['status', *(vm.text for vm in vms)]) == 0
    assert capsys.readouterr().out == snapshot


def test_status_names_unreachable_vms_and_shows_the_others(
    vms: list[VmServer],
    closed: str,
    capsys: Capture,
) -> None:
    assert main(['status', closed, vms[0].text]) == 3
    out = capsys.readouterr().out
    assert f'UNREACHABLE {closed}' in out
    assert 'vm-01' in out


@pytest.mark.parametrize('text', ['', '[]', '{"vm": 1}', '[' * 5000])
def test_an_invalid_response_counts_as_unreachable(
    text: str,
    vms: list[VmServer],
    capsys: Capture,
) -> None:
    vms[0].answers['/status'] = text

    assert main(['status', *(vm.text for vm in vms)]) == 3
    assert 'cannot be read' in capsys.readouterr().out


def test_status_for_programs_is_json(
    vms: list[VmServer],
    closed: str,
    capsys: Capture,
) -> None:
    assert main(['status', '--json', vms[0].text, closed]) == 3
    status = json.loads(capsys.readouterr().out)

    assert status['vms'] == [VM]
    assert [vm['address'] for vm in status['unreachable']] == [closed]


def test_explain_shows_the_trace_of_a_request(
    vms: list[VmServer],
    closed: str,
    capsys: Capture,
) -> None:
    addresses = [closed, *(vm.text for vm in vms)]

    assert main(['explain', 'a/b', *addresses]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split() for line in lines[1:]] == [
        ['MILLISECONDS', 'EVENT', 'DETAIL'],
        ['0.0', 'received', 'GET', '/pots/7/history'],
        ['12.3', 'answered', '200?[31m'],
    ]


def test_a_request_that_no_vm_knows_has_exit_code_1(
    vms: list[VmServer],
) -> None:
    assert main(['explain', 'c', *(vm.text for vm in vms)]) == 1


def test_a_request_is_not_unknown_while_a_vm_is_unreachable(
    vms: list[VmServer],
    closed: str,
) -> None:
    assert main(['explain', 'c', vms[0].text, closed]) == 3


def test_an_address_without_a_port_is_bad_input(capsys: Capture) -> None:
    with pytest.raises(SystemExit) as stopped:
        main(['status', '127.0.0.1'])

    assert stopped.value.code == 2
    assert 'has no port' in capsys.readouterr().err


@pytest.mark.parametrize('seconds', ['0', '-1', 'nan', 'inf', 'soon'])
def test_an_invalid_timeout_is_bad_input(seconds: str) -> None:
    with pytest.raises(SystemExit) as stopped:
        main(['status', '127.0.0.1:1', f'--timeout={seconds}'])

    assert stopped.value.code == 2
