import subprocess
import sys
from pathlib import Path

SCRIPT = Path(__file__).resolve().parent.parent / "benchmarks" / "capacity.py"


def test_capacity_page_agrees_with_the_saved_measurements():
    process = subprocess.run([sys.executable, str(SCRIPT), "--check"], check=False)
    assert process.returncode == 0, "run python benchmarks/capacity.py --saved"
