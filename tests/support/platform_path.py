"""Makes the translation to the users' platform importable for tests of it.

Its folder goes to the end of the path, since it shares its name with a module of Python's own.
"""

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))
