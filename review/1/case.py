"""An entry that can't be read lies in the store; new versions follow."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from rig import CannotRun, Client, Rig, main, make_configuration, make_load, make_route

VMS = 6
TARGETS = 9
REQUESTS_PER_SECOND = 25
CALM_SECONDS = 6.0
ENTRY_SECONDS = 4.0
# After each of two ordinary changes of the configuration.
AFTER_SECONDS = 20.0
ADDED_PREFIXES = ('/neze114/', '/wupa220/')
KEY = '2b9wu3fexd9dnn2ctnfz'
VARIANTS = {
    # Bytes that can't be read: they are no whole JSON document.
    'unreadable': b'[' * 5000,
    # Where a whole number belongs, a number that is none.
    'type': b'{"Address":"127.0.0.1:9","Info":{"Service":"huvo11a","Version":"v1",'
    b'"Zone":"muc-a","Slots":1e999},"Status":{"State":"ready","Seq":1,'
    b'"ColdRemainingMs":0},"born":1}',
}
# The rule "Fault": processes end by themselves three times on a tenth of the
# machines, two at least.
MIN_ENDS = 3
MIN_VMS = 2


def configure(version, *routes):
    return make_configuration(
        version,
        [
            make_route('r-safe', '/lohu930/', 'safe', 'huvo11a'),
            make_route('r-unsafe', '/pufi791/', 'unsafe', 'huvo11a'),
            *routes,
        ],
        ['huvo11a'],
        {'huka270': [KEY]},
    )


async def play():
    rig = Rig(FOLDER, VMS, configure(7))
    try:
        await rig.start()
        for index in range(TARGETS):
            await rig.add_target('huvo11a', rig.vms[index % 3].zone, 0.15)
        await asyncio.sleep(1.5)
        clients = [Client(rig, KEY) for _ in range(40)]

        def make_request():
            if rig.random.random() < 0.3:
                return 'GET', '/lohu930/2f', 2500, b''
            return 'POST', '/pufi791/2f', 3000, b'x' * 500

        await make_load(rig, clients, REQUESTS_PER_SECOND, CALM_SECONDS, make_request)
        before = len(rig.answers)
        served_before = sum(answer[3] == 200 for answer in rig.answers)
        if any(vm.own_ends for vm in rig.vms) or served_before < before * 0.9:
            raise CannotRun('the calm part was not calm')
        if rig.has_trouble:
            variant = os.environ.get('VARIANT', 'unreadable')
            await rig.store.put('servers/i-other', VARIANTS[variant])
            rig.note('entry-written', key='servers/i-other', variant=variant)
        await make_load(rig, clients, REQUESTS_PER_SECOND, ENTRY_SECONDS, make_request)
        changed = len(rig.answers)
        for version, prefix in enumerate(ADDED_PREFIXES, start=10):
            added = make_route('r-added', prefix, 'safe', 'huvo11a')
            await rig.store.put('op/config', configure(version, added))
            rig.note('configuration-acknowledged', version=f'{version:08x}')
            await make_load(
                rig, clients, REQUESTS_PER_SECOND, AFTER_SECONDS, make_request
            )
        after = rig.answers[changed:]
        served_after = sum(answer[3] == 200 for answer in after)
    finally:
        await rig.stop()
    ends = {vm.name: len(vm.own_ends) for vm in rig.vms}
    failing = sum(count >= MIN_ENDS for count in ends.values())
    text = (
        f'processes that ended by themselves: {ends}; served in the calm part: '
        f'{served_before} of {before}; after the new versions: {served_after} of '
        f'{len(after)}'
    )
    return rig.finish(text, 1 if failing >= MIN_VMS else 0)


main(play)
