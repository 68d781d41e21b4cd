"""What a VM remembers of the fleet's lists."""

from jacinthcroft_config import Address, Vm, VmList, VmState, load_vm_list
from jacinthcroft_daemon.internal.fleet.list_history import PublishedText
from jacinthcroft_daemon.internal.fleet.view import FleetView
from jacinthcroft_decisions.coordination import CoordinationConfig
from jacinthcroft_testkit.internal.documents import write_vm_list

_VM = Vm(
    'vm1',
    'muc1',
    VmState.LIVE,
    callers=Address('127.0.0.1', 1),
    peers=Address('127.0.0.1', 2),
    operators=Address('127.0.0.1', 3),
)
_LIST = write_vm_list((_VM,), ())


def _view(revision: int) -> FleetView:
    view = FleetView('vm1', 'muc1', CoordinationConfig(), started_at=0)
    vm_list = load_vm_list(_LIST, revision, 'vms')
    assert isinstance(vm_list, VmList)
    view.adopt_list(vm_list, _LIST)
    return view


def test_the_newest_list_stays_the_last_when_earlier_ones_are_learned() -> None:
    view = _view(revision=5)
    for earlier in (4, 3):
        view.list_history.add_from_peer(PublishedText(earlier, _LIST))
    told = [published.revision for published in view.list_history.published]
    placed = [placement.revision for placement in view.list_history.placements]
    assert told == placed == [3, 4, 5]


def test_a_history_that_cannot_be_read_is_not_passed_on() -> None:
    view = _view(revision=5)
    view.list_history.add_from_peer(PublishedText(4, 'not a list'))
    assert [
        published.revision for published in view.list_history.published
    ] == [5]
