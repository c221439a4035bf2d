import subprocess
import sys
from pathlib import Path

SCRIPT = Path(__file__).resolve().parent.parent / "benchmarks" / "capacity.py"


def test_page_agrees_with_the_last_points():
    done = subprocess.run([sys.executable, str(SCRIPT), "--check"], check=False)
    assert done.returncode == 0, "run python benchmarks/capacity.py --saved"
