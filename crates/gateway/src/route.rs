//! Third stage: the one instance of the module, the clock it goes by, and `Outward`, which turns its decisions into
//! tasks. Owns the tables of open inquiries, hand-offs out and hosts' addresses. Must never decide, nor call back
//! into the module from within `Outward`: what an action leads to comes later, from the task that it started.

use crate::counter::Counter;
use crate::http::{Answer, Call};
use crate::peers::Peers;
use crate::send::{self, Job, Kept};
use crate::{book, relay};
use archlink_admission::admission::Admission;
use archlink_admission::backoff::Backoff;
use archlink_admission::interface::*;
use archlink_admission_settings::ParsedSettings;
use rustix::time::{
    Itimerspec, TimerfdClockId, TimerfdFlags, TimerfdTimerFlags, Timespec, timerfd_create, timerfd_settime,
};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;

/// The module's clock: monotonic, and set to Unix time once, so that all gateways number windows alike.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: f64,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
        Clock { start: Instant::now(), unix }
    }
    pub fn now(&self) -> f64 {
        self.unix + self.start.elapsed().as_secs_f64()
    }
    /// A host's start in Unix time, which is this clock's; 0 stays "long ago".
    pub fn of_unix(&self, at: f64) -> f64 {
        if at.is_finite() { at.max(0.0) } else { 0.0 }
    }
    pub fn instant(&self, at: f64) -> tokio::time::Instant {
        // A day ahead at the most: times come from outside and must stay ones that can be added.
        let ahead = (at - self.unix).clamp(0.0, self.start.elapsed().as_secs_f64() + 86_400.0);
        (self.start + Duration::from_secs_f64(ahead)).into()
    }
}

pub struct Open {
    pub call: Rc<Call>,
    /// When the client's time is up.
    pub until: f64,
    pub sent: u16,
    pub answer: oneshot::Sender<Answer>,
}

/// The ids of open inquiries, and for a while of those just closed: their clients may not have read the answer, and
/// what else comes by that name is somebody else's. Bounded by time and by number.
#[derive(Default)]
struct Ids {
    held: HashSet<Rc<str>>,
    closed: VecDeque<(f64, Rc<str>)>,
}

impl Ids {
    /// False where the id is held already.
    fn hold(&mut self, id: &Rc<str>) -> bool {
        self.held.insert(id.clone())
    }

    fn close(&mut self, now: f64, id: Rc<str>) {
        const WHILE: f64 = 2.0;
        const MOST: usize = 2048;
        self.closed.push_back((now, id));
        while self.closed.len() > MOST || self.closed.front().is_some_and(|(at, _)| at + WHILE < now) {
            let Some((_, id)) = self.closed.pop_front() else { return };
            self.held.remove(&id);
        }
    }
}

/// What the module's actions reach.
pub struct Hands {
    hall: Weak<Hall>,
    clock: Clock,
    next: u32,
    open: HashMap<u32, Open>,
    ids: Ids,
    /// Hand-offs out; dropping or using the sender calls one off.
    pub out: HashMap<(u32, u16), oneshot::Sender<()>>,
    pub hosts: HashMap<HostId, SocketAddr>,
    counter: Rc<Counter>,
    peers: Option<Rc<Peers>>,
    timer: Rc<Timer>,
    watch: Rc<Notify>,
}

/// The module's one timer, on a descriptor of its own: set anew several times an inquiry, which the runtime's timers
/// pay for with wake-ups of the thread, and exact to less than the millisecond that these count in.
struct Timer(AsyncFd<OwnedFd>);

impl Timer {
    // The newer call wants an unsafe promise, that the descriptor stays the same; an owned one does.
    #[expect(deprecated)]
    fn new() -> io::Result<Timer> {
        let flags = TimerfdFlags::NONBLOCK | TimerfdFlags::CLOEXEC;
        let timer = timerfd_create(TimerfdClockId::Monotonic, flags)?;
        Ok(Timer(AsyncFd::with_interest(timer, Interest::READABLE)?))
    }

    /// Rings once after that time; replaces the time set before.
    fn set(&self, after: f64) {
        const LEAST: f64 = 1e-6;
        let after = Duration::from_secs_f64(after.clamp(LEAST, 3600.0));
        let it_value = Timespec { tv_sec: after.as_secs() as i64, tv_nsec: i64::from(after.subsec_nanos()) };
        let it_interval = Timespec { tv_sec: 0, tv_nsec: 0 };
        let once = Itimerspec { it_interval, it_value };
        if let Err(e) = timerfd_settime(&self.0, TimerfdTimerFlags::empty(), &once) {
            log::error!("timer: {e}");
        }
    }

    async fn rings(&self) -> io::Result<()> {
        loop {
            let mut ready = self.0.readable().await?;
            let read = ready.try_io(|fd| Ok(rustix::io::read(fd, &mut [0; 8])?));
            // Read or not, it is quiet until it rings again.
            ready.clear_ready();
            if let Ok(read) = read {
                return read.map(drop);
            }
        }
    }
}

impl Hands {
    /// Gives an inquiry its number and place; none where one of the same id is open.
    pub fn seat(&mut self, call: Call, until: f64, answer: oneshot::Sender<Answer>) -> Option<u32> {
        if !self.ids.hold(&call.id) {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        self.open.insert(self.next, Open { until, call: Rc::new(call), sent: 0, answer });
        Some(self.next)
    }

    /// Takes an inquiry's place back; none where it has ended before.
    pub fn vacate(&mut self, inquiry: u32) -> Option<Open> {
        let open = self.open.remove(&inquiry)?;
        self.ids.close(self.clock.now(), open.call.id.clone());
        Some(open)
    }

    pub fn is_open(&self, inquiry: u32) -> bool {
        self.open.contains_key(&inquiry)
    }
}

impl Driver for Hands {
    fn start_attempt(&mut self, inquiry: u32, host: HostId, until: f64) {
        let Some(hall) = self.hall.upgrade() else { return };
        let now = self.clock.now();
        let open = self.open.get_mut(&inquiry);
        let (nth, call, last) = match open {
            Some(open) => {
                open.sent += 1;
                (open.sent - 1, Some(open.call.clone()), open.until)
            }
            // Ended already: it gets an ending of its own, and touches no hand-off that is out.
            None => (u16::MAX, None, now),
        };
        let until = if until > 0.0 { until.min(last) } else { last };
        let (cancel, cancelled) = oneshot::channel();
        self.out.insert((inquiry, nth), cancel);
        let job = Job { inquiry, nth, host, address: self.hosts.get(&host).copied(), until, at: now };
        spawn_local(send::hand_off(book::Owed::new(hall, job), call, cancelled));
    }
    fn cancel_attempt(&mut self, inquiry: u32, nth: u16) {
        self.out.remove(&(inquiry, nth));
    }
    fn reject(&mut self, inquiry: u32, come_back_in: f64) {
        relay::end(self, inquiry, Answer::PushedBack { come_back_in });
    }
    fn abort(&mut self, inquiry: u32) {
        relay::end(self, inquiry, Answer::Terminated);
    }
    fn probe(&mut self, host: HostId) {
        if let Some(hall) = self.hall.upgrade() {
            spawn_local(send::probe(book::OwedProbe::new(hall, host), self.hosts.get(&host).copied()));
        }
    }
    fn add_to_counter(&mut self, name: u64, amount: f64, keep: f64) {
        self.counter.call(name, amount, keep);
    }
    fn send_to_peers(&mut self, gateway: Option<u32>, words: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.tell(gateway, words);
        }
    }
    fn subscribe(&mut self) {
        self.watch.notify_one();
    }
    fn set_timer(&mut self, after: f64) {
        self.timer.set(after);
    }
    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}

pub struct Hall {
    core: RefCell<(Admission, Hands)>,
    pub clock: Clock,
    pub told: Rc<ParsedSettings>,
    pub kept: Rc<Kept>,
    counter: Rc<Counter>,
    timer: Rc<Timer>,
    chance: RefCell<oorandom::Rand64>,
}

/// The neighbours that a hall acts through.
pub struct Around {
    pub kept: Rc<Kept>,
    pub counter: Rc<Counter>,
    pub peers: Option<Rc<Peers>>,
    pub watch: Rc<Notify>,
}

impl Hall {
    pub fn start(told: Rc<ParsedSettings>, seed: u64, clock: Clock, around: Around) -> io::Result<Rc<Hall>> {
        let timer = Rc::new(Timer::new()?);
        let Around { kept, counter, peers, watch } = around;
        let hall = Rc::new_cyclic(|hall: &Weak<Hall>| {
            let mut hands = Hands {
                hall: hall.clone(),
                clock,
                next: 0,
                open: HashMap::new(),
                ids: Ids::default(),
                out: HashMap::new(),
                hosts: HashMap::new(),
                counter: counter.clone(),
                peers,
                timer: timer.clone(),
                watch,
            };
            let module = Admission::start(told.admission.clone(), seed, clock.now(), &mut hands);
            // Apart from the module's chance, whose draws follow from its inquiries alone.
            let chance = RefCell::new(oorandom::Rand64::new(u128::from(!seed)));
            Hall {
                core: RefCell::new((module, hands)),
                clock,
                told,
                kept,
                counter,
                timer: timer.clone(),
                chance,
            }
        });
        Ok(hall)
    }

    /// How long to wait before something that has failed `again` is tried anew, spread by this gateway's chance.
    pub fn wait(&self, again: &mut Backoff, first: Duration, most: Duration) -> Duration {
        let chance = self.chance.borrow_mut().rand_float();
        Duration::from_secs_f64(again.failed(first.as_secs_f64(), most.as_secs_f64(), chance))
    }

    /// The only way to the module: one call at a time, with the time of the call.
    pub fn call<R>(&self, step: impl FnOnce(&mut Admission, f64, &mut Hands) -> R) -> R {
        let (module, hands) = &mut *self.core.borrow_mut();
        step(module, self.clock.now(), hands)
    }
}

/// Gives the module its wake-ups; never ends.
pub async fn tick(hall: Rc<Hall>) {
    loop {
        if let Err(e) = hall.timer.rings().await {
            log::error!("timer: {e}");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        hall.counter.lapse(&hall, false);
        hall.call(|module, now, hands| module.timer_fired(now, hands));
    }
}
