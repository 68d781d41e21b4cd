"""Tests of the data classes that all packages share."""

from jacinthcroft_config import Address


def test_an_address_prints_as_host_and_port() -> None:
    assert str(Address('127.0.0.1', 8080)) == '127.0.0.1:8080'
