"""Entry point of ``python -m jasminewalk``."""

from jasminewalk.cli import main

if __name__ == "__main__":
    main()
