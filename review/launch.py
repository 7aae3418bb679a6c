"""Runs the case of a folder. What keeps it from running, a missing module too, ends with status 2, not with Python's 1."""

import os
import runpy
import sys
import traceback

NOT_RUN = 2

try:
    sys.argv = [os.path.abspath(sys.argv[1])]
    runpy.run_path(sys.argv[0], run_name="__main__")
except BaseException:
    traceback.print_exc()
sys.stderr.flush()
os._exit(NOT_RUN)  # a case that ran has ended the process with its own result
