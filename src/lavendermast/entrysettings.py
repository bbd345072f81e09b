"""Settings of an entry VM's process, checked against their schema."""

import json
import pathlib

import jsonschema

from lavendermast.exceptions import SettingsError
from lavendermast.findings import Finding, format_path
from lavendermast.settings_model import EntrySettings

_SCHEMA_PATH = pathlib.Path(__file__).with_name("schema") / "settings.schema.json"


def load_entry_settings(path):
    """
    Return the checked settings of a process.

    :raises SettingsError: with every finding.
    """
    try:
        text = pathlib.Path(path).read_text()
        value = json.loads(text)
    except (OSError, ValueError) as error:
        raise SettingsError([Finding(str(path), "", 0, str(error))]) from error
    schema = json.loads(_SCHEMA_PATH.read_text())
    schema = {"$ref": "#/$defs/EntrySettings", "$defs": schema["$defs"]}
    validator = jsonschema.Draft202012Validator(schema)
    findings = [
        Finding(str(path), format_path(error.absolute_path), 0, error.message)
        for error in validator.iter_errors(value)
    ]
    if findings:
        raise SettingsError(findings)
    return EntrySettings.from_config(value)
