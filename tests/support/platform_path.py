"""Makes the folder ``platform`` importable when this module is imported.

It is appended to the end of the path, since its name is also that of a standard module.
"""

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))
