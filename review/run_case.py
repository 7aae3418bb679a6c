"""Runs the case of a folder. What keeps it from running, a missing module too, ends with status 2."""

import os
import runpy
import sys
import traceback

NOT_RUN = 2

try:
    runpy.run_path(sys.argv[1], run_name="__main__")
except BaseException:
    traceback.print_exc()
sys.stdout.flush()
sys.stderr.flush()
os._exit(NOT_RUN)  # a case that ran has ended the process with its own result
