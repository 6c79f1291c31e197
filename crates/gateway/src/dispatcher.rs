//! Owns the process's only instance of the admission module; all calls to the module go through it.

use crate::clock::Clock;
use crate::driver::{DriverOutputs, GatewayDriver, TaskSpawner};
use crate::upstream::HostConnections;
use archlink_admission::admission::Admission;
use archlink_admission::backoff::Backoff;
use archlink_admission_settings::ParsedSettings;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;

struct AdmissionCore {
    admission: Admission,
    driver: GatewayDriver,
}

/// The admission module with its driver, and the state that its callers share.
pub struct Dispatcher {
    core: RefCell<AdmissionCore>,
    /// The clock that supplies the time of each call.
    pub clock: Clock,
    /// Settings that the process started with.
    pub settings: Rc<ParsedSettings>,
    /// Pooled connections to hosts.
    pub connections: Rc<HostConnections>,
    jitter: RefCell<oorandom::Rand64>,
}

impl Dispatcher {
    /// Starts the admission module; `seed` initializes its random number generator.
    pub fn start(
        settings: Rc<ParsedSettings>,
        seed: u64,
        clock: Clock,
        connections: Rc<HostConnections>,
        outputs: DriverOutputs,
    ) -> Rc<Dispatcher> {
        Rc::new_cyclic(|dispatcher: &Weak<Dispatcher>| {
            let tasks: Weak<dyn TaskSpawner> = dispatcher.clone();
            let mut driver = GatewayDriver::new(tasks, clock, outputs);
            let admission = Admission::start(settings.admission.clone(), seed, clock.now(), &mut driver);
            // Separate from the module's generator, whose sequence of draws must depend on its requests alone.
            let jitter = RefCell::new(oorandom::Rand64::new(u128::from(!seed)));
            Dispatcher {
                core: RefCell::new(AdmissionCore { admission, driver }),
                clock,
                settings,
                connections,
                jitter,
            }
        })
    }

    /// Records a failure in `backoff` and returns the delay before the next retry, with jitter.
    pub fn retry_delay(&self, backoff: &mut Backoff, first: Duration, max: Duration) -> Duration {
        let random = self.jitter.borrow_mut().rand_float();
        Duration::from_secs_f64(backoff.failed(first.as_secs_f64(), max.as_secs_f64(), random))
    }

    /// Calls the admission module, passing it the current time. Calls must not nest: `operation` must not use `call`.
    pub fn call<R>(&self, operation: impl FnOnce(&mut Admission, f64, &mut GatewayDriver) -> R) -> R {
        let AdmissionCore { admission, driver } = &mut *self.core.borrow_mut();
        operation(admission, self.clock.now(), driver)
    }
}
