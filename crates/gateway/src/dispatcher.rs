//! The one instance of the admission module, and the only way to call it.

use crate::clock::Clock;
use crate::driver::{GatewayDriver, Outputs, TaskSpawner};
use crate::upstream::HostConnections;
use archlink_admission::admission::Admission;
use archlink_admission::backoff::Backoff;
use archlink_admission_settings::ParsedSettings;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;

struct Core {
    admission: Admission,
    driver: GatewayDriver,
}

/// The admission module with its driver, and what its callers share.
pub struct Dispatcher {
    core: RefCell<Core>,
    /// The clock that decisions are made by.
    pub clock: Clock,
    /// The settings of the start.
    pub settings: Rc<ParsedSettings>,
    /// Pooled connections to hosts.
    pub connections: Rc<HostConnections>,
    jitter: RefCell<oorandom::Rand64>,
}

impl Dispatcher {
    /// Starts the module; `seed` is that of its random draws.
    pub fn start(
        settings: Rc<ParsedSettings>,
        seed: u64,
        clock: Clock,
        connections: Rc<HostConnections>,
        outputs: Outputs,
    ) -> Rc<Dispatcher> {
        Rc::new_cyclic(|dispatcher: &Weak<Dispatcher>| {
            let tasks: Weak<dyn TaskSpawner> = dispatcher.clone();
            let mut driver = GatewayDriver::new(tasks, clock, outputs);
            let admission = Admission::start(settings.admission.clone(), seed, clock.now(), &mut driver);
            // Apart from the module's generator, whose draws follow from its requests alone.
            let jitter = RefCell::new(oorandom::Rand64::new(u128::from(!seed)));
            Dispatcher {
                core: RefCell::new(Core { admission, driver }),
                clock,
                settings,
                connections,
                jitter,
            }
        })
    }

    /// How long to wait before a retry after one more failure, with jitter.
    pub fn retry_delay(&self, backoff: &mut Backoff, first: Duration, max: Duration) -> Duration {
        let random = self.jitter.borrow_mut().rand_float();
        Duration::from_secs_f64(backoff.failed(first.as_secs_f64(), max.as_secs_f64(), random))
    }

    /// Calls the module with the time of the call. Calls do not nest: `step` must not call this again.
    pub fn call<R>(&self, step: impl FnOnce(&mut Admission, f64, &mut GatewayDriver) -> R) -> R {
        let Core { admission, driver } = &mut *self.core.borrow_mut();
        step(admission, self.clock.now(), driver)
    }
}
