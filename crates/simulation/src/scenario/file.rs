//! The file format of scenarios: one JSON object, with each step on its own line. Names and order of fields are those of the
//! first version, so that files are compatible with earlier builds in both directions.

use super::Scenario;
use crate::SimulationError;
use error_stack::{Report, ResultExt};
use serde::Serialize;

fn json(value: &impl Serialize) -> String {
    // Every value of a scenario is plain data, so serialization never fails.
    serde_json::to_string(value).unwrap_or_default()
}

impl Scenario {
    /// Reads a scenario from text.
    ///
    /// # Errors
    ///
    /// [`SimulationError::Scenario`] with the line and column of the syntax error, or with the step that names a position
    /// outside a fleet of the given size.
    pub fn read(text: &str) -> Result<Scenario, Report<SimulationError>> {
        let scenario: Scenario = serde_json::from_str(text).change_context(SimulationError::Scenario)?;
        scenario.check_positions()?;
        Ok(scenario)
    }

    fn check_positions(&self) -> Result<(), Report<SimulationError>> {
        let allowed = 1..=self.size.nodes();
        for (index, (_, step)) in self.steps.iter().enumerate() {
            if let Some(unknown) = step.nodes().into_iter().find(|node| !allowed.contains(node)) {
                let (first, last) = allowed.into_inner();
                let text = format!("steps[{index}]: node {unknown}; allowed are {first} to {last}: {step:?}");
                return Err(Report::new(SimulationError::Scenario).attach(text));
            }
        }
        Ok(())
    }

    /// The scenario as text that [`Scenario::read`] accepts.
    pub fn text(&self) -> String {
        let steps: Vec<String> = self.steps.iter().map(|step| format!("  {}", json(step))).collect();
        format!(
            "{{\"seed\": {}, \"size\": {}, \"catch_up\": {}, \"rates\": {}, \"syncs\": {}, \"steps\": [\n{}\n]}}\n",
            self.seed,
            json(&self.size),
            self.catch_up,
            json(&self.clock_rates),
            json(&self.sync_durations),
            steps.join(",\n")
        )
    }
}
