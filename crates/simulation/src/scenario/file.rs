//! Scenarios as text: one JSON object with a step a line. Names and order of fields are those of the first version, so that
//! the files of earlier builds are read and theirs read ours.

use super::Scenario;
use crate::SimulationError;
use error_stack::{Report, ResultExt};
use serde::Serialize;

fn json(value: &impl Serialize) -> String {
    // Every value of a scenario is plain data, which always has a JSON form.
    serde_json::to_string(value).unwrap_or_default()
}

impl Scenario {
    /// Reads a scenario from text.
    ///
    /// # Errors
    ///
    /// [`SimulationError::Scenario`] with line and column of what is wrong, or with the step that names a position which a
    /// fleet of that size lacks.
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

    /// The text that [`Scenario::read`] reads.
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
