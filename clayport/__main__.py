"""Entry point of `python3 -m clayport`."""

import sys

from clayport.cli import main

sys.exit(main())
