//! The estimate of a service time: how long a request takes at a host that runs it at once.
//!
//! An estimate decides whether requests are sent, and only the responses to requests that were sent can change it. So an
//! estimate that keeps requests away has to be tested by a probe from time to time (`probing`), whose result replaces it.

/// Weight of one response in the moving average: a few tens of responses tell a host's speed from the variation between
/// requests.
const RESPONSE_WEIGHT: f64 = 0.06;
/// Factor on the service time of a host while it is warming up.
const WARM_UP_SLOWDOWN: f64 = 2.0;

/// What the host's state was when a response time was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The host was not warming up.
    Warm,
    /// The host was warming up, and slower than later.
    WarmingUp,
}

impl Condition {
    /// The factor on the service time of a warm host.
    pub fn slowdown(self) -> f64 {
        match self {
            Condition::Warm => 1.0,
            Condition::WarmingUp => WARM_UP_SLOWDOWN,
        }
    }
}

/// An estimate of the service time of warm hosts, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTimeEstimate {
    /// Moving average; `None` until the first response.
    mean: Option<f64>,
    /// Whether it is derived from hosts that were warming up: the first response of a warm host replaces it.
    is_provisional: bool,
}

impl ServiceTimeEstimate {
    /// The estimate; `None` until the first response.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Records a measured service time.
    pub fn observe(&mut self, measured: f64, condition: Condition) {
        let sample = measured / condition.slowdown();
        match (condition, self.mean) {
            (Condition::Warm, Some(mean)) if !self.is_provisional => self.mean = Some(average(mean, sample)),
            (Condition::Warm, _) | (Condition::WarmingUp, None) => self.replace(measured, condition),
            (Condition::WarmingUp, Some(mean)) if self.is_provisional => {
                self.mean = Some(average(mean, sample));
            }
            (Condition::WarmingUp, Some(_)) => {}
        }
    }

    /// Records a measured service time in place of all earlier ones, which are too old to count.
    pub fn replace(&mut self, measured: f64, condition: Condition) {
        self.mean = Some(measured / condition.slowdown());
        self.is_provisional = condition == Condition::WarmingUp;
    }

    /// Records a lower bound of a service time. Without an estimate it is compared with `default`.
    pub fn observe_minimum(&mut self, measured: f64, condition: Condition, default: f64) {
        let minimum = measured / condition.slowdown();
        let known = self.mean.unwrap_or(default);
        if minimum > known {
            self.mean = Some(average(known, minimum));
        }
    }
}

fn average(mean: f64, sample: f64) -> f64 {
    mean + RESPONSE_WEIGHT * (sample - mean)
}
