"""Tests that the loaders return a value or faults for any text."""

import json
import pathlib
import tomllib
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from jacinthcroft_config import (
    BundleIndex,
    Faults,
    Service,
    Settings,
    VmList,
    load_bundle_index,
    load_service,
    load_settings,
    load_vm_list,
)
from jacinthcroft_config.internal.faults import FaultCollector
from jacinthcroft_config.internal.service_files import read_service

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
TRANSFERS = tomllib.loads(
    (EXAMPLES / 'huberbauer' / 'transfers.toml').read_text(),
)

leaves = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20)
    | st.dates()
)
names = st.sampled_from(
    ['service', 'limits', 'routes', 'teams', 'targets', 'keys', 'path', 'vms'],
) | st.text(max_size=8)
values = st.recursive(
    leaves,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(names, inner, max_size=4)
    ),
    max_leaves=20,
)


@given(text=st.text())
@settings(derandomize=True)
def test_any_text_loads_or_has_faults(text: str) -> None:
    assert isinstance(load_service(text, 'f'), Service | Faults)
    assert isinstance(load_settings(text, 'f'), Settings | Faults)
    assert isinstance(load_vm_list(text, 1, 'f'), VmList | Faults)
    assert isinstance(load_bundle_index(text, 'f'), BundleIndex | Faults)


@given(document=st.dictionaries(names, values))
@settings(derandomize=True)
def test_any_document_is_a_service_or_has_faults(
    document: dict[str, Any],
) -> None:
    assert isinstance(read_service(FaultCollector('f'), document), Faults)


def list_locations(
    value: Any, location: tuple[Any, ...] = ()
) -> list[tuple[Any, ...]]:
    """Returns the location of every value nested in a value."""
    if isinstance(value, dict):
        inner: Any = value.items()
    elif isinstance(value, list):
        inner = enumerate(value)
    else:
        return [location]
    below = [
        nested
        for key, element in inner
        for nested in list_locations(element, (*location, key))
    ]
    return [location, *below] if location else below


def replace_at(value: Any, location: tuple[Any, ...], new: Any) -> Any:
    """Returns a copy of a value with a new value at one location."""
    if not location:
        return new
    copied = value.copy()
    copied[location[0]] = replace_at(value[location[0]], location[1:], new)
    return copied


@given(location=st.sampled_from(list_locations(TRANSFERS)), new=values)
@settings(derandomize=True, max_examples=300)
def test_a_valid_file_with_one_value_changed_loads_or_has_faults(
    location: tuple[Any, ...],
    new: Any,
) -> None:
    document = replace_at(TRANSFERS, location, new)
    outcome = read_service(FaultCollector('f'), document)

    assert isinstance(outcome, Service | Faults)
    if isinstance(outcome, Faults):
        assert all('\n' not in str(fault) for fault in outcome.faults)


@given(document=values)
@settings(derandomize=True)
def test_any_json_is_a_vm_list_or_has_faults(document: Any) -> None:
    text = json.dumps({'vms': document, 'zones_out': document}, default=str)

    assert isinstance(load_vm_list(text, 1, 'vms'), VmList | Faults)


@pytest.mark.parametrize('depth', [400, 900, 960, 980, 990, 5000])
def test_deep_nesting_is_a_fault(depth: int) -> None:
    nested = '[' * depth + ']' * depth

    assert isinstance(load_vm_list(nested, 1, 'vms'), Faults)
    assert isinstance(load_service(f'limits = {nested}', 'f'), Faults)
