"""Tests that error texts name only keys that the settings have."""

import pathlib
import re

import pytest

LIB = pathlib.Path(__file__).resolve().parent.parent / "lib"
# Files with errors about settings, and the file with the schema of these settings.
SCHEMAS = {
    "Control/Fleet/FleetNode.cpp": "Control/Fleet/FleetControlSettings.cpp",
    "Control/ControlNode.cpp": "Control/ControlSettings.cpp",
    "Entry/EntryProcess.cpp": "Entry/EntrySettings.cpp",
    "Entry/Peers/PeerNetwork.cpp": "Entry/EntrySettings.cpp",
    "Gateway/GatewayNode.cpp": "Gateway/GatewaySettings.cpp",
}
KEY_IN_ERROR = re.compile(r'key \[([a-z_]+)\]')


def files_with_key_errors():
    return sorted(path for path in LIB.rglob("*.cpp") if KEY_IN_ERROR.search(path.read_text()))


@pytest.mark.parametrize("path", files_with_key_errors(), ids=lambda path: path.stem)
def test_error_names_a_key_of_the_schema(path):
    """Guards against an error that sends the operator to a key that does not exist."""
    schema = (LIB / SCHEMAS.get(str(path.relative_to(LIB)), path.relative_to(LIB))).read_text()
    schema = schema[schema.index("Schema = "):schema.index(')";', schema.index("Schema = "))]
    for key in set(KEY_IN_ERROR.findall(path.read_text())):
        assert f'"{key}"' in schema, f"{path.name} names the key {key}, which its schema does not have"
