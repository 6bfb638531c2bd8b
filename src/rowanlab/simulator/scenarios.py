"""The registry of all scenarios by name."""

from rowanlab.simulator.control_scenarios import CONTROL_SCENARIOS
from rowanlab.simulator.data_scenarios import DATA_SCENARIOS
from rowanlab.simulator.scenario import Scenario

SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in [
        *DATA_SCENARIOS,
        *CONTROL_SCENARIOS,
    ]
}
