//! Plans: what befalls a fleet, step by step, drawn from a seed and written as text so that a found fault can be kept. Owns
//! the steps and how they are drawn. Must never depend on anything but the seed and the size.

use crate::SoundingError;
use archlink_messages::NodeId;
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};

/// Most steps of a drawn plan, and fewest.
const STEPS: (u64, u64) = (4, 28);
/// Most seconds of a cut, and of a machine that is off.
const LONGEST: f64 = 60.0;
/// Clocks of two machines run apart by less than this part; real ones by a thousandth of that.
const APART: f64 = 0.02;

/// What befalls a machine that counts as lost: from its beginning until `CatchUp` after the machine is back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Loss {
    /// It comes back with an empty disk.
    Wipe,
    Power,
    Kill,
    Freeze,
    Isolate,
    /// Its disk ends no write.
    Hang,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Size {
    /// Four gateways, three of which vote; one disk is lost at a time.
    Small,
    /// Six and five, and two.
    Grown,
}

impl Size {
    pub fn gateways(self) -> NodeId {
        match self {
            Size::Small => 4,
            Size::Grown => 6,
        }
    }

    /// Disks that may be lost at once.
    pub fn losses(self) -> usize {
        match self {
            Size::Small => 1,
            Size::Grown => 2,
        }
    }

    /// `CatchUp`, in seconds, as the operators' deployments of that size have it.
    pub fn catch_up(self) -> f64 {
        match self {
            Size::Small => 4.0,
            Size::Grown => 6.0,
        }
    }

    /// Seats that are needed for that.
    pub fn needed(self) -> usize {
        2 * self.losses() + 1
    }
}

/// Lengths in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// A configuration numbered so far above the highest ordered before; its caller waits that long.
    Chart {
        node: NodeId,
        above: i8,
        patience: f64,
    },
    /// Two texts under one number through two gateways.
    Race {
        nodes: (NodeId, NodeId),
        gap: f64,
    },
    Zone {
        node: NodeId,
        zone: u8,
        on: bool,
        patience: f64,
    },
    /// The second takes the seat of the first.
    Reseat {
        node: NodeId,
        old: NodeId,
        new: NodeId,
    },
    /// Reads through a gateway, so far apart.
    Reads {
        node: NodeId,
        every: f64,
        seconds: f64,
    },
    Cut {
        from: NodeId,
        to: NodeId,
        seconds: f64,
    },
    /// All ways to and from one.
    Isolate {
        node: NodeId,
        seconds: f64,
    },
    /// All ways between those with a bit and those without.
    Split {
        bits: u8,
        seconds: f64,
    },
    /// One way comes and goes.
    Flap {
        from: NodeId,
        to: NodeId,
        period: f64,
        times: u8,
    },
    /// Words wait and come all together.
    Stall {
        from: NodeId,
        to: NodeId,
        seconds: f64,
    },
    /// The same on all ways from one.
    Hold {
        node: NodeId,
        seconds: f64,
    },
    Noise {
        lossy: f64,
        doubled: f64,
        late: f64,
        late_by: f64,
        seconds: f64,
    },
    Freeze {
        node: NodeId,
        seconds: f64,
    },
    Kill {
        node: NodeId,
        down: f64,
    },
    Power {
        node: NodeId,
        down: f64,
    },
    /// Machine and disk are lost, and an empty one comes back; left out where too many are lost already.
    Wipe {
        node: NodeId,
        down: f64,
    },
    KillAll {
        down: f64,
    },
    PowerAll {
        down: f64,
    },
    /// Each leaves in order and starts anew, one after the other.
    Roll {
        gap: f64,
    },
    Slow {
        node: NodeId,
        sync: f64,
        seconds: f64,
    },
    Hang {
        node: NodeId,
        seconds: f64,
    },
    /// The machine at that place is gone for good, and an empty one comes under another address, after `gap`; or first, and
    /// the old one is told to end. Waits until as many losses as are borne at once allow it, and no longer.
    Replace {
        node: NodeId,
        gap: f64,
        planned: bool,
    },
    /// A loss of the machine at that place for so long, at the first moment at which it is allowed.
    Lose {
        node: NodeId,
        loss: Loss,
        seconds: f64,
    },
    /// The same of the machine whose disk has lasted longest.
    LoseOldest {
        loss: Loss,
        seconds: f64,
    },
}

impl Step {
    /// The step with each place that it names turned into the machine that stands there.
    pub fn at(&self, machine: impl Fn(NodeId) -> NodeId) -> Step {
        let mut step = self.clone();
        match &mut step {
            Step::Race { nodes: (one, other), .. } => (*one, *other) = (machine(*one), machine(*other)),
            Step::Cut { from, to, .. } | Step::Flap { from, to, .. } | Step::Stall { from, to, .. } => {
                (*from, *to) = (machine(*from), machine(*to));
            }
            Step::Reseat { node, old, new } => {
                (*node, *old, *new) = (machine(*node), machine(*old), machine(*new));
            }
            Step::Chart { node, .. }
            | Step::Zone { node, .. }
            | Step::Reads { node, .. }
            | Step::Isolate { node, .. }
            | Step::Hold { node, .. }
            | Step::Freeze { node, .. }
            | Step::Kill { node, .. }
            | Step::Power { node, .. }
            | Step::Wipe { node, .. }
            | Step::Slow { node, .. }
            | Step::Hang { node, .. }
            | Step::Replace { node, .. }
            | Step::Lose { node, .. } => *node = machine(*node),
            Step::Split { .. }
            | Step::Noise { .. }
            | Step::KillAll { .. }
            | Step::PowerAll { .. }
            | Step::Roll { .. }
            | Step::LoseOldest { .. } => {}
        }
        step
    }
}

/// What a plan is drawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Everything at once, lost disks within what is borne.
    Any,
    /// Losses as the operators define them, each in the very moment from which on it is allowed.
    Losses,
}

fn never() -> f64 {
    crate::network::NEVER
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub seed: u64,
    pub size: Size,
    /// `CatchUp`, in seconds; where it is left out no seat is given away unasked.
    #[serde(default = "never")]
    pub catch_up: f64,
    /// How fast each machine's clock goes, from the first on.
    pub rates: Vec<f64>,
    /// Seconds that a sync takes on each machine's disk.
    pub syncs: Vec<f64>,
    /// Steps, and how long after the one before.
    pub steps: Vec<(f64, Step)>,
}

struct Draw(oorandom::Rand64);

impl Draw {
    fn chance(&mut self, part: f64) -> bool {
        self.0.rand_float() < part
    }

    fn below(&mut self, most: u64) -> u64 {
        self.0.rand_range(0..most)
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.0.rand_float()
    }

    /// Short ones as often as long ones.
    fn length(&mut self, least: f64, most: f64) -> f64 {
        // Three places are enough and are read by people.
        let drawn = least * (most / least).powf(self.0.rand_float());
        (drawn * 1e3).round() / 1e3
    }

    fn node(&mut self, size: Size) -> NodeId {
        self.below(u64::from(size.gateways())) as NodeId + 1
    }

    fn two(&mut self, size: Size) -> (NodeId, NodeId) {
        let first = self.node(size);
        let gateways = size.gateways();
        let on = 1 + self.below(u64::from(gateways) - 1) as NodeId;
        (first, (first - 1 + on) % gateways + 1)
    }

    fn wait(&mut self) -> f64 {
        match self.below(10) {
            0..4 => self.length(0.001, 0.1),
            4..7 => self.length(0.05, 1.0),
            7..9 => self.length(0.3, 4.0),
            _ => self.length(2.0, 30.0),
        }
    }

    fn patience(&mut self) -> f64 {
        if self.chance(0.3) { self.length(0.01, 1.0) } else { 2.0 }
    }

    fn step(&mut self, size: Size) -> Step {
        let node = self.node(size);
        let (from, to) = self.two(size);
        match self.below(100) {
            0..16 => Step::Chart { node, above: self.below(4) as i8 - 1, patience: self.patience() },
            16..22 => Step::Race { nodes: (from, to), gap: self.length(0.001, 0.5) },
            22..30 => {
                let (zone, on) = (self.below(2) as u8, self.chance(0.5));
                Step::Zone { node, zone, on, patience: self.patience() }
            }
            30..38 => Step::Reseat { node, old: from, new: to },
            38..41 => Step::Reads { node, every: self.length(0.002, 0.3), seconds: self.length(0.2, 5.0) },
            41..47 => Step::Cut { from, to, seconds: self.length(0.1, LONGEST) },
            47..51 => Step::Isolate { node, seconds: self.length(0.1, LONGEST) },
            51..54 => {
                let bits = 1 + self.below((1 << size.gateways()) - 2) as u8;
                Step::Split { bits, seconds: self.length(0.1, LONGEST) }
            }
            54..56 => {
                Step::Flap { from, to, period: self.length(0.05, 4.0), times: 1 + self.below(12) as u8 }
            }
            56..58 => Step::Stall { from, to, seconds: self.length(0.1, 20.0) },
            58..60 => Step::Hold { node, seconds: self.length(0.1, 20.0) },
            60..64 => Step::Noise {
                lossy: self.length(0.001, 0.3),
                doubled: self.length(0.001, 0.5),
                late: self.length(0.001, 0.2),
                late_by: self.length(0.05, 20.0),
                seconds: self.length(0.2, 20.0),
            },
            64..71 => Step::Freeze { node, seconds: self.length(0.05, 12.0) },
            71..76 => Step::Kill { node, down: self.length(0.01, 10.0) },
            76..80 => Step::Power { node, down: self.length(0.1, LONGEST) },
            80..87 => Step::Wipe { node, down: self.length(0.05, 10.0) },
            87..89 => Step::KillAll { down: self.length(0.01, 2.0) },
            89..91 => Step::PowerAll { down: self.length(0.1, 5.0) },
            91..93 => Step::Roll { gap: self.length(0.02, 2.0) },
            93..96 => Step::Slow { node, sync: self.length(0.005, 0.3), seconds: self.length(0.3, 30.0) },
            _ => Step::Hang { node, seconds: self.length(0.1, 20.0) },
        }
    }

    fn loss(&mut self) -> Loss {
        match self.below(12) {
            0..6 => Loss::Wipe,
            6..8 => Loss::Power,
            8 => Loss::Kill,
            9 => Loss::Freeze,
            10 => Loss::Isolate,
            _ => Loss::Hang,
        }
    }

    fn step_of_losses(&mut self, size: Size) -> Step {
        let node = self.node(size);
        match self.below(100) {
            0..18 => Step::Chart { node, above: self.below(4) as i8 - 1, patience: self.patience() },
            18..24 => {
                let (zone, on) = (self.below(2) as u8, self.chance(0.5));
                Step::Zone { node, zone, on, patience: self.patience() }
            }
            24..50 => Step::Replace {
                node,
                gap: if self.chance(0.5) { 0.5 } else { self.length(0.05, 6.0) },
                planned: self.chance(0.4),
            },
            50..66 => Step::Lose { node, loss: self.loss(), seconds: self.length(0.05, 8.0) },
            66..86 => Step::LoseOldest { loss: self.loss(), seconds: self.length(0.05, 8.0) },
            86..90 => Step::KillAll { down: self.length(0.01, 2.0) },
            90..94 => Step::PowerAll { down: self.length(0.1, 3.0) },
            94..97 => Step::Slow { node, sync: self.length(0.005, 0.1), seconds: self.length(0.3, 10.0) },
            _ => Step::Roll { gap: self.length(0.02, 2.0) },
        }
    }
}

impl Plan {
    /// The plan of a seed.
    pub fn drawn(seed: u64, size: Size) -> Plan {
        Plan::of(Kind::Any, seed, size)
    }

    /// The plan of a seed, of one kind. Of the first kind every other one lets no seat be given away unasked.
    pub fn of(kind: Kind, seed: u64, size: Size) -> Plan {
        let mut draw = Draw(oorandom::Rand64::new(u128::from(seed) << 8 | size.losses() as u128));
        let apart = if draw.chance(0.5) { APART } else { 0.0 };
        let slow = if draw.chance(0.5) { 0.02 } else { 0.0 };
        let rates = (0..size.gateways()).map(|_| draw.between(1.0 - apart, 1.0 + apart)).collect();
        let syncs = (0..size.gateways()).map(|_| draw.between(0.0, slow)).collect();
        let count = STEPS.0 + draw.below(STEPS.1 - STEPS.0);
        let step = |draw: &mut Draw| match kind {
            Kind::Any => draw.step(size),
            Kind::Losses => draw.step_of_losses(size),
        };
        let steps = (0..count).map(|_| (draw.wait(), step(&mut draw))).collect();
        let catch_up = if kind == Kind::Any && seed.is_multiple_of(2) { never() } else { size.catch_up() };
        Plan { seed, size, catch_up, rates, syncs, steps }
    }

    /// A plan as `text` gave it; an error names the place where it can't be read.
    pub fn read(text: &str) -> Result<Plan, Report<SoundingError>> {
        serde_json::from_str(text).change_context(SoundingError::Plan)
    }

    /// One step a line.
    pub fn text(&self) -> String {
        let json = |value: Result<String, serde_json::Error>| value.unwrap_or_default();
        let steps: Vec<String> =
            self.steps.iter().map(|step| format!("  {}", json(serde_json::to_string(step)))).collect();
        format!(
            "{{\"seed\": {}, \"size\": {}, \"catch_up\": {}, \"rates\": {}, \"syncs\": {}, \"steps\": [\n{}\n]}}\n",
            self.seed,
            json(serde_json::to_string(&self.size)),
            self.catch_up,
            json(serde_json::to_string(&self.rates)),
            json(serde_json::to_string(&self.syncs)),
            steps.join(",\n")
        )
    }
}
