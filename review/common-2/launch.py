"""Runs the case in a folder; whatever keeps it from running ends with 2.

An error of Python's own, also one at an import, would end with 1, which stands for a
broken rule.
"""

import os
import runpy
import sys

NOT_RUN = 2

try:
    runpy.run_path(os.path.join(sys.argv[1], "case.py"), run_name="__main__")
except SystemExit:
    raise
except BaseException as error:  # also an interrupt; the case has ended its processes
    print("not run: " + repr(error))
    sys.exit(NOT_RUN)
