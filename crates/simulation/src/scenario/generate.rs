//! Generates scenarios from seeds.
//!
//! Invariant: values are drawn in a fixed order. Changing that order changes the scenario of every seed, which
//! `tests/seed_stability.rs` detects.

use super::{Loss, Scenario, Size, Step, Workload, catch_up_disabled};
use archlink_messages::NodeId;
use std::ops::Range;

/// Number of steps of a scenario: enough for faults to coincide, few enough to read.
const STEP_COUNT: Range<u64> = 4..28;
/// Maximum seconds of a partition, and of a machine's power-off.
const MAX_OUTAGE: f64 = 60.0;
/// Maximum relative drift of a clock; the drift of real clocks is about a thousandth of it.
const MAX_CLOCK_DRIFT: f64 = 0.02;
/// Maximum seconds of a sync where disks are slow.
const MAX_SYNC_DURATION: f64 = 0.02;
/// Seconds that most callers wait for an outcome.
const CALLER_TIMEOUT: f64 = 2.0;
/// Durations are rounded to milliseconds, which is precise enough and easier to read.
const ROUNDING_PER_SECOND: f64 = 1e3;

struct Generator {
    rng: oorandom::Rand64,
    size: Size,
}

impl Generator {
    fn happens(&mut self, probability: f64) -> bool {
        self.rng.rand_float() < probability
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.rand_range(0..bound)
    }

    fn between(&mut self, min: f64, max: f64) -> f64 {
        min + (max - min) * self.rng.rand_float()
    }

    /// A duration drawn uniformly on a logarithmic scale, so that short ones are as likely as long ones.
    fn duration(&mut self, min: f64, max: f64) -> f64 {
        let drawn = min * (max / min).powf(self.rng.rand_float());
        (drawn * ROUNDING_PER_SECOND).round() / ROUNDING_PER_SECOND
    }

    fn node(&mut self) -> NodeId {
        self.below(u64::from(self.size.nodes())) as NodeId + 1
    }

    /// A pair of different nodes.
    fn pair(&mut self) -> (NodeId, NodeId) {
        let first = self.node();
        let count = self.size.nodes();
        let distance = 1 + self.below(u64::from(count) - 1) as NodeId;
        (first, (first - 1 + distance) % count + 1)
    }

    /// Seconds between two steps, mostly so short that their effects overlap.
    fn delay(&mut self) -> f64 {
        match self.below(10) {
            0..4 => self.duration(0.001, 0.1),
            4..7 => self.duration(0.05, 1.0),
            7..9 => self.duration(0.3, 4.0),
            _ => self.duration(2.0, 30.0),
        }
    }

    fn timeout(&mut self) -> f64 {
        if self.happens(0.3) { self.duration(0.01, 1.0) } else { CALLER_TIMEOUT }
    }

    fn submit_configuration(&mut self, node: NodeId) -> Step {
        let version_offset = self.below(4) as i8 - 1;
        Step::SubmitConfiguration { node, version_offset, timeout: self.timeout() }
    }

    fn submit_evacuation(&mut self, node: NodeId) -> Step {
        let (zone, evacuated) = (self.below(2) as u8, self.happens(0.5));
        Step::SubmitEvacuation { node, zone, evacuated, timeout: self.timeout() }
    }

    fn degrade_network(&mut self) -> Step {
        Step::DegradeNetwork {
            lost: self.duration(0.001, 0.3),
            duplicated: self.duration(0.001, 0.5),
            delayed: self.duration(0.001, 0.2),
            max_delay: self.duration(0.05, 20.0),
            seconds: self.duration(0.2, 20.0),
        }
    }

    fn partition(&mut self) -> Step {
        // The range excludes 0 and the mask of all nodes, so neither side is empty.
        let side_mask = 1 + self.below((1 << self.size.nodes()) - 2) as u8;
        Step::Partition { side_mask, seconds: self.duration(0.1, MAX_OUTAGE) }
    }

    /// A step of [`Workload::Any`].
    fn any_step(&mut self) -> Step {
        let node = self.node();
        let (from, to) = self.pair();
        match self.below(100) {
            0..16 => self.submit_configuration(node),
            16..22 => Step::SubmitConflict { nodes: (from, to), delay: self.duration(0.001, 0.5) },
            22..30 => self.submit_evacuation(node),
            30..38 => Step::ReplaceVoter { node, removed: from, added: to },
            38..41 => {
                let interval = self.duration(0.002, 0.3);
                Step::Read { node, interval, seconds: self.duration(0.2, 5.0) }
            }
            41..47 => Step::PartitionLink { from, to, seconds: self.duration(0.1, MAX_OUTAGE) },
            47..51 => Step::Isolate { node, seconds: self.duration(0.1, MAX_OUTAGE) },
            51..54 => self.partition(),
            54..56 => {
                let period = self.duration(0.05, 4.0);
                Step::FlapLink { from, to, period, times: 1 + self.below(12) as u8 }
            }
            56..58 => Step::StallLink { from, to, seconds: self.duration(0.1, 20.0) },
            58..60 => Step::StallOutgoing { node, seconds: self.duration(0.1, 20.0) },
            60..64 => self.degrade_network(),
            64..71 => Step::Pause { node, seconds: self.duration(0.05, 12.0) },
            71..76 => Step::Crash { node, downtime: self.duration(0.01, 10.0) },
            76..80 => Step::PowerOff { node, downtime: self.duration(0.1, MAX_OUTAGE) },
            80..87 => Step::LoseDisk { node, downtime: self.duration(0.05, 10.0) },
            87..89 => Step::CrashAll { downtime: self.duration(0.01, 2.0) },
            89..91 => Step::PowerOffAll { downtime: self.duration(0.1, 5.0) },
            91..93 => Step::RollingRestart { downtime: self.duration(0.02, 2.0) },
            93..96 => {
                let sync_duration = self.duration(0.005, 0.3);
                Step::SlowDisk { node, sync_duration, seconds: self.duration(0.3, 30.0) }
            }
            _ => Step::HangDisk { node, seconds: self.duration(0.1, 20.0) },
        }
    }

    fn loss(&mut self) -> Loss {
        match self.below(12) {
            0..6 => Loss::Disk,
            6..8 => Loss::PowerOff,
            8 => Loss::Crash,
            9 => Loss::Pause,
            10 => Loss::Isolation,
            _ => Loss::DiskHang,
        }
    }

    fn replace_machine(&mut self, node: NodeId) -> Step {
        let gap = if self.happens(0.5) { 0.5 } else { self.duration(0.05, 6.0) };
        Step::ReplaceMachine { node, gap, planned: self.happens(0.4) }
    }

    /// A step of [`Workload::Losses`].
    fn loss_step(&mut self) -> Step {
        let node = self.node();
        match self.below(100) {
            0..18 => self.submit_configuration(node),
            18..24 => self.submit_evacuation(node),
            24..50 => self.replace_machine(node),
            50..66 => Step::LoseMachine { node, loss: self.loss(), seconds: self.duration(0.05, 8.0) },
            66..86 => Step::LoseOldest { loss: self.loss(), seconds: self.duration(0.05, 8.0) },
            86..90 => Step::CrashAll { downtime: self.duration(0.01, 2.0) },
            90..94 => Step::PowerOffAll { downtime: self.duration(0.1, 3.0) },
            94..97 => {
                let sync_duration = self.duration(0.005, 0.1);
                Step::SlowDisk { node, sync_duration, seconds: self.duration(0.3, 10.0) }
            }
            _ => Step::RollingRestart { downtime: self.duration(0.02, 2.0) },
        }
    }

    fn step(&mut self, workload: Workload) -> Step {
        match workload {
            Workload::Any => self.any_step(),
            Workload::Losses => self.loss_step(),
        }
    }
}

impl Scenario {
    /// Generates the scenario of a seed. In scenarios of [`Workload::Any`] with an even seed, automatic replacement of voters is
    /// disabled.
    pub fn generate(workload: Workload, seed: u64, size: Size) -> Scenario {
        let generator_seed = u128::from(seed) << 8 | size.tolerated_losses() as u128;
        let mut generator = Generator { rng: oorandom::Rand64::new(generator_seed), size };
        let max_drift = if generator.happens(0.5) { MAX_CLOCK_DRIFT } else { 0.0 };
        let max_sync = if generator.happens(0.5) { MAX_SYNC_DURATION } else { 0.0 };
        let clock_rates =
            (0..size.nodes()).map(|_| generator.between(1.0 - max_drift, 1.0 + max_drift)).collect();
        let sync_durations = (0..size.nodes()).map(|_| generator.between(0.0, max_sync)).collect();
        let count = STEP_COUNT.start + generator.below(STEP_COUNT.end - STEP_COUNT.start);
        let steps = (0..count).map(|_| (generator.delay(), generator.step(workload))).collect();
        let replaces_automatically = workload == Workload::Losses || !seed.is_multiple_of(2);
        let catch_up = if replaces_automatically { size.catch_up() } else { catch_up_disabled() };
        Scenario { seed, size, catch_up, clock_rates, sync_durations, steps }
    }
}
