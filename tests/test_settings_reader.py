"""Reading settings from the settings text; errors name the setting."""

import pytest

from tests.settings_text import SETTINGS_TEXT
from yardlane.decisions.settings import Idempotency
from yardlane.errors import SettingsError
from yardlane.settings_reader import SettingsReader, parse_settings


def test_parse_settings_returns_settings_and_report_columns() -> None:
    settings, columns = parse_settings(SETTINGS_TEXT)
    assert (settings.gateway_count, settings.rank, settings.warm_up_us) == (2, 0, 9_000_000)
    [request_class] = settings.request_classes
    assert request_class.idempotency is Idempotency.IDEMPOTENT
    assert request_class.latency_objective_us == 500_000
    assert settings.endpoint_list_is_pushed and settings.may_hedge and not settings.may_send_retry_after
    assert columns == ("concurrent", "depth")


@pytest.mark.parametrize(
    ("replaced", "by", "message"),
    [
        (b"rank=0\n", b"", "setting rank is missing"),
        (b"rank=0", b"rank=x", "setting rank is not a number: 'x'"),
        (b"rank=0", b"rank=inf", "setting rank is not finite: 'inf'"),
        (
            b"max_attempts=3",
            b"max_attempts=0",
            "setting permissions.max_attempts is 0: must be greater than 0",
        ),
        (b"cancel=true", b"cancel=yes", "setting permissions.cancel is neither true nor false: 'yes'"),
        (b"repeat=free", b"repeat=often", "setting profiles.0.repeat has an unknown value: 'often'"),
        (b"discovery=pushed", b"discovery", "settings line 1 has no '=': 'discovery'"),
        (b"something.new=7", b"something.new=\xff", "settings text is not valid UTF-8 at byte"),
    ],
)
def test_invalid_settings_text_raises_settings_error(replaced: bytes, by: bytes, message: str) -> None:
    assert replaced in SETTINGS_TEXT
    with pytest.raises(SettingsError) as raised:
        parse_settings(SETTINGS_TEXT.replace(replaced, by))
    assert str(raised.value).startswith(message)


def test_default_replaces_only_a_missing_setting() -> None:
    reader = SettingsReader({"here": "7", "empty": ""})
    assert reader.integer("here", "3") == 7
    assert reader.integer("missing", "3") == 3
    with pytest.raises(SettingsError, match="setting empty is not a number"):
        reader.integer("empty", "3")
