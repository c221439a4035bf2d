#!/bin/sh
# Compiles the stand-ins of the cases. They are Python and use the standard library
# only, so nothing else has to be built.
cd "$(dirname "$0")" && exec python3 -m py_compile common/*.py ./*/case.py
