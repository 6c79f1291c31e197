//! The instances of the admission module in one process, and the delivery of events to them.

use crate::driver::InstanceDriver;
use crate::error::WireError;
use crate::reader::{Frame, MICROSECONDS_PER_SECOND, Record};
use crate::writer::Reply;
use archlink_admission::admission::Admission;
use archlink_admission::interface::{
    AttemptResult, CounterReply, Driver, HostEntry, HostListUpdate, Load, Outcome, Request,
};
use archlink_admission_settings::{from_lines, set_load_field};
use std::collections::BTreeMap;

/// Codes of the simulator's events.
mod code {
    /// Starts an instance with its settings and seed.
    pub const START: u8 = 0;
    /// An instance received a host list, or its subscription failed.
    pub const HOST_LIST_UPDATE: u8 = 1;
    /// A client sent a request.
    pub const REQUEST: u8 = 2;
    /// A host has started a streamed response.
    pub const ATTEMPT_STARTED: u8 = 3;
    /// An attempt ended.
    pub const ATTEMPT_ENDED: u8 = 4;
    /// A client disconnected.
    pub const CLIENT_DISCONNECTED: u8 = 5;
    /// An instance's timer fired.
    pub const TIMER: u8 = 6;
    /// A probe finished.
    pub const PROBE_FINISHED: u8 = 7;
    /// Another gateway sent bytes.
    pub const PEER_MESSAGE: u8 = 8;
    /// Stops an instance.
    pub const STOP: u8 = 9;
    /// The counter replied to an addition.
    pub const COUNTER_REPLY: u8 = 10;
    /// Defines a host list, to which later updates refer by its number.
    pub const HOST_LIST: u8 = 11;
}

/// Maximum number of values in a load report.
const MAX_REPORT_VALUES: usize = 4;
/// Offsets of the load report in the records that contain one, in bytes.
const REPORT_IN_ATTEMPT_ENDED: usize = 26;
const REPORT_IN_PROBE_FINISHED: usize = 15;
/// Upper bound of the number of gateways that a customer uses, and of the number of the first one.
const MAX_SPREAD: f64 = 1e6;

struct Instance {
    admission: Admission,
    /// Number of request classes in the settings.
    classes: usize,
    /// Number of plans in the settings.
    plans: usize,
    /// Names of the values in a load report, in their order.
    load_report_fields: Vec<String>,
}

/// All instances by the simulator's instance numbers, and the host lists that they share.
#[derive(Default)]
pub struct Instances {
    instances: BTreeMap<u16, Instance>,
    host_lists: BTreeMap<u8, Vec<HostEntry>>,
}

/// Decodes the outcome of an attempt.
fn parse_outcome(code: u16) -> Result<Outcome, WireError> {
    use Outcome::*;
    let by_code = [Answered, Error, Full, TimedOut, ConnectFailed, Reset, Cancelled, NeverSent];
    let outcome = usize::from(code).checked_sub(1).and_then(|index| by_code.get(index)).copied();
    outcome.ok_or(WireError::UnknownCode { field: "rc", code: code.into() })
}

impl Instances {
    /// Handles the event at the given index of a batch and writes the resulting actions to `reply`. Events for unknown
    /// instances are ignored.
    pub fn handle(
        &mut self,
        now: f64,
        frame: &Frame,
        index: usize,
        reply: &mut Reply,
    ) -> Result<(), WireError> {
        let mut record = frame.record(index);
        let code = record.u8("event code")?;
        if code == code::HOST_LIST {
            return self.store_host_list(frame, &mut record);
        }
        if code > code::HOST_LIST {
            return Err(WireError::UnknownCode { field: "event code", code: code.into() });
        }
        let number = record.u16("who")?;
        match code {
            code::START => return self.start(now, frame, &mut record, number, reply),
            code::STOP => {
                self.instances.remove(&number);
                return Ok(());
            }
            _ => {}
        }
        let load = match code {
            code::ATTEMPT_ENDED => {
                self.parse_load(number, &mut frame.record(index).skip(REPORT_IN_ATTEMPT_ENDED))?
            }
            code::PROBE_FINISHED => {
                self.parse_load(number, &mut frame.record(index).skip(REPORT_IN_PROBE_FINISHED))?
            }
            _ => Load::default(),
        };
        let Some(instance) = self.instances.get_mut(&number) else { return Ok(()) };
        let mut driver = InstanceDriver { instance: number, now, reply };
        match code {
            code::HOST_LIST_UPDATE => {
                update_host_list(&self.host_lists, &mut instance.admission, now, &mut record, &mut driver)
            }
            code::PEER_MESSAGE => {
                // The module accepts no messages from other gateways, but the record is still checked.
                let _sender = record.u16("src")?;
                frame.bytes(&mut record, "raw").map(drop)
            }
            _ => instance.handle(now, code, &mut record, load, &mut driver),
        }
    }

    /// Stores a host list for later updates.
    fn store_host_list(&mut self, frame: &Frame, record: &mut Record) -> Result<(), WireError> {
        let number = record.u8("list")?;
        let (start, count) = (record.u32("nodes-list")?, record.u32("nodes-list")?);
        self.host_lists.insert(number, frame.host_entries(start, count)?);
        Ok(())
    }

    /// Starts an instance, replacing one with the same number.
    fn start(
        &mut self,
        now: f64,
        frame: &Frame,
        record: &mut Record,
        number: u16,
        reply: &mut Reply,
    ) -> Result<(), WireError> {
        let seed = record.u64("rng-seed")?;
        let settings = from_lines(&frame.text(record, "facts")?)?;
        let (classes, plans) = (settings.classes.len(), settings.plans.len());
        let mut driver = InstanceDriver { instance: number, now, reply };
        let admission = Admission::start(settings.admission, seed, now, &mut driver);
        let load_report_fields = settings.load_report_fields;
        self.instances.insert(number, Instance { admission, classes, plans, load_report_fields });
        Ok(())
    }

    /// Decodes a load report, whose fields are named by the settings of the instance.
    fn parse_load(&self, number: u16, record: &mut Record) -> Result<Load, WireError> {
        let count = usize::from(record.u8("report")?);
        if count > MAX_REPORT_VALUES {
            return Err(WireError::ReportTooLong);
        }
        let mut load = Load::default();
        for index in 0..count {
            let value = f64::from(record.f32("report")?);
            let instance = self.instances.get(&number);
            if let Some(name) = instance.and_then(|instance| instance.load_report_fields.get(index)) {
                set_load_field(&mut load, name, value);
            }
        }
        Ok(load)
    }
}

/// Passes a host list, or the failure of the subscription, to an instance.
fn update_host_list(
    host_lists: &BTreeMap<u8, Vec<HostEntry>>,
    admission: &mut Admission,
    now: f64,
    record: &mut Record,
    driver: &mut dyn Driver,
) -> Result<(), WireError> {
    let _stamp = record.u64("stamp")?;
    let update = match record.u8("how")? {
        0 => HostListUpdate::Delta,
        1 => HostListUpdate::Full,
        2 => HostListUpdate::Cached,
        3 => HostListUpdate::Failed,
        code => return Err(WireError::UnknownCode { field: "how", code: code.into() }),
    };
    let list = record.u8("list")?;
    let entries = match host_lists.get(&list) {
        _ if update == HostListUpdate::Failed => &[][..],
        Some(entries) => entries,
        None => return Err(WireError::UnknownHostList { list }),
    };
    admission.host_list_updated(now, driver, update, entries);
    Ok(())
}

impl Instance {
    /// Handles an event for this instance.
    fn handle(
        &mut self,
        now: f64,
        code: u8,
        record: &mut Record,
        load: Load,
        driver: &mut dyn Driver,
    ) -> Result<(), WireError> {
        let admission = &mut self.admission;
        match code {
            code::REQUEST => {
                let request = self.parse_request(record)?;
                self.admission.request_arrived(now, driver, request);
            }
            code::ATTEMPT_STARTED => {
                let request = record.u32("ticket")?;
                let _attempt = (record.u16("go")?, record.u32("took-us")?);
                admission.attempt_started(now, request, record.host("host")?);
            }
            code::ATTEMPT_ENDED => {
                let result = parse_attempt_result(record, load)?;
                admission.attempt_ended(now, driver, result);
            }
            code::CLIENT_DISCONNECTED => admission.client_disconnected(now, driver, record.u32("ticket")?),
            code::TIMER => admission.timer_fired(now, driver),
            code::PROBE_FINISHED => {
                let host = record.host("host")?;
                let healthy = record.u16("rc")? == 1;
                admission.probe_finished(now, driver, host, healthy, load);
            }
            code::COUNTER_REPLY => {
                let total = record.f32("now-at")?;
                let reply = match record.u16("rc")? {
                    1 => CounterReply::Total(f64::from(total)),
                    3 | 5 => CounterReply::NotAdded,
                    4 => CounterReply::Unknown,
                    code => return Err(WireError::UnknownCode { field: "rc", code: code.into() }),
                };
                admission.counter_replied(now, driver, record.u64("entry-name")?, reply);
            }
            _ => {}
        }
        Ok(())
    }

    /// Decodes a request.
    fn parse_request(&self, record: &mut Record) -> Result<Request, WireError> {
        Ok(Request {
            id: record.u32("ticket")?,
            class: record.index(self.classes, "grade")?,
            plan: record.index(self.plans, "package")?,
            customer: record.u64("holder")?,
            remaining: record.seconds("budget-us")?,
            units: record.non_negative("cost-units")?,
            spread: record.non_negative("set-size")?.clamp(1.0, MAX_SPREAD) as u32,
            first: record.non_negative("first")?.clamp(0.0, MAX_SPREAD) as u32,
        })
    }
}

/// Decodes the end of an attempt.
fn parse_attempt_result(record: &mut Record, load: Load) -> Result<AttemptResult, WireError> {
    let request = record.u32("ticket")?;
    let final_attempt = record.u8("no-more")? & 1 != 0;
    let attempt = record.u16("go")?;
    let elapsed = f64::from(record.u32("took-us")?) / MICROSECONDS_PER_SECOND;
    let outcome = parse_outcome(record.u16("rc")?)?;
    let true_units = f64::from(record.u16("true-units")?);
    let _used = record.u16("used")?;
    let host = record.host("host")?;
    Ok(AttemptResult { request, attempt, final_attempt, outcome, elapsed, true_units, host, load })
}
