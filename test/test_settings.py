"""Tests of the settings: every error is found, and all are reported."""

from pathlib import Path

import pytest

from cyclamenscale.errors import SettingError, SettingsErrors
from cyclamenscale.settings import DEFAULTS_PATH, Settings, load
from cyclamenscale.settings_schema import (
    RULES,
    read_ini,
    render_docs,
    schema,
    sections,
)

DOCS = Path(__file__).parent.parent / "docs" / "settings.md"


def faults(tmp_path, text):
    """Return the errors of a settings file as (section, key) pairs."""
    path = tmp_path / "entry.ini"
    path.write_text(text)
    with pytest.raises(SettingsErrors) as caught:
        load(path)
    assert all(isinstance(f, SettingError) for f in caught.value.exceptions)
    assert all(f.file == str(path) for f in caught.value.exceptions)
    return [(fault.section, fault.key) for fault in caught.value.exceptions]


def test_the_shipped_defaults_name_every_key_with_its_default():
    """Guards against defaults.ini and the code drifting apart."""
    assert load() == Settings()
    texts, found = read_ini(DEFAULTS_PATH)
    assert not found
    wanted = {n: list(s._fields) for n, s in sections(Settings).items()}
    assert {n: list(keys) for n, keys in texts.items()} == wanted


def test_every_key_is_described_and_every_number_bounded():
    """Guards against a key that is added without its checks."""
    for name, section in sections(Settings).items():
        for field, key in schema(section).items():
            assert key.description, f"[{name}] {field} has no description"
            if key.value_type in (int, float):
                low, high = key.bounds
                assert abs(low) < 1e12 and abs(high) < 1e12, (name, field)


def test_the_page_of_settings_is_current():
    """Guards against a documentation page that is out of date."""
    assert DOCS.read_text() == render_docs(Settings)


def test_a_file_overrides_single_keys(tmp_path):
    """Guards against values of the wrong type or section."""
    path = tmp_path / "entry.ini"
    path.write_text(
        "[entry]\nname = e2\n[peers]\nseeds = 10.0.0.1:70, [::1]:71\n"
        "[log]\njson = yes\n"
    )
    got = load(path)
    assert got.entry.name == "e2"
    assert got.peers.seeds == ("10.0.0.1:70", "[::1]:71")
    assert got.log.json is True
    assert got.freshness == Settings().freshness


def test_all_faults_are_reported_together(tmp_path):
    """Guards against an operator who has to fix errors one by one."""
    found = faults(
        tmp_path,
        "[entry]\nname = -x\nNAME = e\n[nowhere]\na = 1\n"
        "[peers]\nheartbeat_s = nan\nseeds = 10.0.0.1\n"
        "[claims]\ngroup_limit = 129\n[callers]\nthreads = 4.5\n"
        "[log]\nlevel = info\njson = maybe\n"
        "[freshness]\nlimit_s = 11.5\n",
    )
    assert found == [
        ("entry", "name"),
        ("entry", "NAME"),
        ("nowhere", "-"),
        ("peers", "heartbeat_s"),
        ("peers", "seeds"),
        ("claims", "group_limit"),
        ("callers", "threads"),
        ("log", "level"),
        ("log", "json"),
        ("freshness", "accept_within_s"),
    ]


@pytest.mark.parametrize("rule", RULES, ids=lambda r: f"{r.section}.{r.key}")
def test_rules_over_several_keys_hold_for_the_defaults(rule):
    """Guards against a rule that always fails or names unknown keys."""
    assert rule.holds(Settings())
    for section, key in ((rule.section, rule.key), *rule.others):
        assert hasattr(getattr(Settings(), section), key)


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("[peers]\nsuspect_s = 3.0\n", ("peers", "dead_s")),
        ("[store]\ncall_timeout_s = 6\n", ("store", "call_timeout_s")),
        ("[store]\nwrites_per_s = 20\n", ("claims", "writes_per_s")),
        ("[log]\nlevel = INFO\nlevel = DEBUG\n", ("log", "level")),
        ("[log]\n[log]\n", ("log", "-")),
        ("[DEFAULT]\nlevel = INFO\n", ("DEFAULT", "-")),
        ("name = e1\n", ("-", "-")),
    ],
)
def test_single_faults(tmp_path, text, fault):
    """Guards against broken rules and malformed files being accepted."""
    assert faults(tmp_path, text) == [fault]


def test_a_missing_file_is_a_fault(tmp_path):
    """Guards against an entry that runs on defaults by mistake."""
    with pytest.raises(SettingsErrors) as caught:
        load(tmp_path / "missing.ini")
    assert caught.value.exceptions[0].allowed == "a file that can be read"
