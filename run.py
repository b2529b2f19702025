"""Start a controller with the libraries that the deploy file's build put under target/."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "target", "deps"))

from clayport.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
