import pathlib
import sys

import pytest

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from harness import Harness  # noqa: E402


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    outcome = yield
    setattr(item, f"report_{call.when}", outcome.get_result())


@pytest.fixture
def harness(request):
    test_harness = Harness()
    yield test_harness
    report = getattr(request.node, "report_call", None)
    test_harness.close(keep_logs=report is not None and report.failed)
