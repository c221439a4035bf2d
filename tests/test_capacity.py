import subprocess
import sys
from pathlib import Path

SCRIPT = Path(__file__).resolve().parent.parent / "benchmarks" / "capacity.py"


def test_page_matches_saved_results():
    completed = subprocess.run([sys.executable, str(SCRIPT), "--check"], check=False)
    assert completed.returncode == 0, "run python benchmarks/capacity.py --saved"
