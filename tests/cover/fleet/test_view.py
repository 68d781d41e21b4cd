"""Which VM lists the fleet view keeps in its history."""

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


def _make_view(revision: int) -> FleetView:
    view = FleetView('vm1', 'muc1', CoordinationConfig(), started_at=0)
    vm_list = load_vm_list(_LIST, revision, 'vms')
    assert isinstance(vm_list, VmList)
    view.adopt_list(vm_list, _LIST)
    return view


def test_newest_list_stays_last_when_earlier_lists_are_added() -> None:
    view = _make_view(revision=5)
    for earlier in (4, 3):
        view.list_history.add_from_peer(PublishedText(earlier, _LIST))
    revisions = [
        published.revision for published in view.list_history.published
    ]
    placement_revisions = [
        placement.revision for placement in view.list_history.placements
    ]
    assert revisions == placement_revisions == [3, 4, 5]


def test_invalid_list_is_not_added_to_the_history() -> None:
    view = _make_view(revision=5)
    view.list_history.add_from_peer(PublishedText(4, 'not a list'))
    assert [
        published.revision for published in view.list_history.published
    ] == [5]
