"""Tests that the platform programs accept the settings that the templates in deploy/ produce."""
import json
import pathlib
import re
import subprocess

import pytest

from harness import BIN

ROOT = pathlib.Path(__file__).resolve().parent.parent
TEMPLATE_VALUES = {
    "nodeName": "n1", "zone": "z1", "ip": "10.1.0.38", "portRange": [7380, 7395], "bootstrap": True,
    "listen": {"front": "10.1.0.38:8149", "ready": "10.1.0.38:8141", "control": "10.1.0.38:8144"},
    "seeds": ["10.1.0.40:8144", "10.2.0.42:8144"], "dataDir": "/data/x", "heartbeatMs": 1200,
    "faultTolerance": {"machines": 1}, "bounds": {"retryRatio": 0.2, "retrySlack": 54, "retryWindowS": 10,
                                                  "graceS": 8, "leaseMs": 3000},
    "limits": {"memoryMb": 160, "maxFds": 4100},
}


def fill_template(template):
    def value(match):
        field_value = TEMPLATE_VALUES
        for part in match.group(1).split("."):
            field_value = field_value[part]
        return json.dumps(field_value) if match.group(2) else str(field_value)
    return re.sub(r"\{\{([A-Za-z.]+)(\|json)?\}\}", value, template)


@pytest.mark.parametrize("role", ["entry", "control"])
def test_template_passes_the_schema(role, tmp_path):
    settings = tmp_path / "node.yaml"
    settings.write_text(fill_template((ROOT / "deploy" / f"{role}.json").read_text()))
    program = BIN / f"tamarackcove-platform-{role}"
    checked = subprocess.run([program, "--settings", settings, "--check"], capture_output=True, text=True, timeout=60)
    assert checked.returncode == 0, checked.stderr


@pytest.mark.parametrize("role", ["entry", "control"])
def test_missing_field_is_named(role, tmp_path):
    settings = tmp_path / "node.yaml"
    content = json.loads(fill_template((ROOT / "deploy" / f"{role}.json").read_text()))
    del content["seeds"]
    settings.write_text(json.dumps(content))
    program = BIN / f"tamarackcove-platform-{role}"
    checked = subprocess.run([program, "--settings", settings, "--check"], capture_output=True, text=True, timeout=60)
    assert checked.returncode == 2
    assert "seeds" in checked.stderr
