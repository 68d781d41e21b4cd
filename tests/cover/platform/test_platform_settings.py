"""The settings file of the platform, decoded once."""

import pytest
from jacinthcroft_platform.settings import read_settings

TEXT = """
[Self]
Node = "front-a-1"
Ip = "10.1.0.5"
Zone = "a"
[Self.Limits]
CpuShare = 0.43
LinkMbps = 5.0
[Network]
PortRange = [7660, 7675]
Seeds = ["10.1.0.5:8407", "10.2.0.3:8407"]
[Network.Listen]
Front = "10.1.0.5:8405"
Ready = "10.1.0.5:8406"
[Platform.Platform]
Address = "10.200.1.7:8408"
[Terms.Bounds]
RevokeMs = 5000
RetryBudget = 0.2
Future = "ignored"
"""


def test_settings_say_where_a_vm_stands_and_what_binds_it() -> None:
    settings = read_settings(TEXT)
    assert settings.callers.port == 8405
    assert settings.seeds == ('10.1.0.5', '10.2.0.3')
    assert settings.terms.revoke_seconds == pytest.approx(5)


def test_a_vm_with_a_small_link_has_little_room_for_others() -> None:
    large = TEXT.replace('5.0', '1000.0').replace('0.43', '2.15')
    assert read_settings(TEXT).room < read_settings(large).room


@pytest.mark.parametrize(
    ('line', 'replaced', 'named'),
    [
        ('Ip = "10.1.0.5"', '', 'Self.Ip'),
        ('Front = "10.1.0.5:8405"', 'Front = "nowhere"', 'nowhere'),
        ('RetryBudget = 0.2', 'RetryBudget = "much"', 'RetryBudget'),
        ('PortRange = [7660, 7675]', '', 'Network.PortRange'),
        ('[Self]', '[Self', 'Expected'),
    ],
)
def test_bad_settings_are_named_with_their_key(
    line: str,
    replaced: str,
    named: str,
) -> None:
    with pytest.raises(ValueError, match=named):
        read_settings(TEXT.replace(line, replaced, 1))
