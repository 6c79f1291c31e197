//! The wire adapter: reads batches, calls the module, writes its answers. It decides nothing.
#![forbid(unsafe_code)]

mod wire;

use archlink_admission::admission::Admission;
use archlink_admission::interface::*;
use std::collections::BTreeMap;
use std::io::{BufReader, BufWriter, Read, Write, stdin, stdout};
use std::panic::{AssertUnwindSafe, catch_unwind};
use wire::{Frame, Reply, Slice, host_line};

const HEADER: usize = 20;

struct Speaker<'a> {
    who: u16,
    now: f64,
    reply: &'a mut Reply,
}

fn micros(seconds: f64) -> u32 {
    (seconds * 1e6).round().clamp(0.0, 4.2e9) as u32
}

impl Driver for Speaker<'_> {
    fn start_attempt(&mut self, inquiry: u32, host: HostId, until: f64) {
        let until = if until > 0.0 { (until * 1e6).round() as u64 } else { 0 };
        self.reply.act(0, self.who).u32(inquiry).host(host).u64(until);
    }
    fn cancel_attempt(&mut self, inquiry: u32, nth: u16) {
        self.reply.act(3, self.who).u32(inquiry).u16(nth);
    }
    fn reject(&mut self, inquiry: u32, come_back_in: f64) {
        self.reply.act(1, self.who).u32(inquiry).u32(micros(come_back_in));
    }
    fn abort(&mut self, inquiry: u32) {
        self.reply.act(2, self.who).u32(inquiry);
    }
    fn probe(&mut self, host: HostId) {
        self.reply.act(5, self.who).host(host);
    }
    fn add_to_counter(&mut self, name: u64, amount: f64, keep: f64) {
        self.reply.act(12, self.who).f32(amount as f32).u32(micros(keep)).u64(name);
    }
    fn send_to_peers(&mut self, gateway: Option<u32>, words: &[u8]) {
        self.reply.act(7, self.who).u32(gateway.unwrap_or(u32::MAX)).bytes(words);
    }
    fn subscribe(&mut self) {
        self.reply.act(10, self.who).u8(1);
    }
    fn set_timer(&mut self, after: f64) {
        let name = (self.now * 1e6) as u64;
        self.reply.act(4, self.who).u32(micros(after).max(1)).u64(name);
    }
    fn log(&mut self, line: &str) {
        self.reply.act(8, self.who).bytes(line.as_bytes());
    }
}

fn outcome(code: u16) -> Option<Outcome> {
    use Outcome::*;
    let all = [Answered, Error, Full, TimedOut, ConnectFailed, Reset, Cancelled, NeverSent];
    all.get(usize::from(code).checked_sub(1)?).copied()
}

struct Hall {
    gateways: BTreeMap<u16, Admission>,
    /// Per instance: lanes, plans, and the names of the values in a load report.
    known: BTreeMap<u16, (usize, usize, Vec<String>)>,
    lists: BTreeMap<u8, Vec<HostEntry>>,
}

impl Hall {
    fn load(&self, who: u16, record: &mut Slice) -> Result<Load, String> {
        let count = record.u8("report")? as usize;
        if count > 4 {
            return Err("report: more than four values".into());
        }
        let mut load = Load::default();
        for n in 0..count {
            let value = f64::from(record.f32("report")?);
            if let Some(name) = self.known.get(&who).and_then(|k| k.2.get(n)) {
                archlink_admission_settings::set_load_field(&mut load, name, value);
            }
        }
        Ok(load)
    }

    fn event(&mut self, now: f64, frame: &Frame, at: usize, reply: &mut Reply) -> Result<(), String> {
        let mut record = frame.record(at);
        let code = record.u8("event code")?;
        if code == 11 {
            let number = record.u8("list")?;
            let (from, count) = (record.u32("nodes-list")?, record.u32("nodes-list")?);
            let lines = frame.lines(from, count)?;
            self.lists.insert(number, lines.iter().map(|l| host_line(l)).collect::<Result<_, _>>()?);
            return Ok(());
        }
        if code > 11 {
            return Err(format!("event code: {code} is unknown"));
        }
        let who = record.u16("who")?;
        if code == 0 {
            let seed = record.u64("rng-seed")?;
            let text = frame.text(&mut record, "facts")?;
            let told = archlink_admission_settings::from_lines(&text)?;
            self.known.insert(who, (told.classes.len(), told.plans.len(), told.load_report_fields));
            let mut speaker = Speaker { who, now, reply };
            self.gateways.insert(who, Admission::start(told.admission, seed, now, &mut speaker));
            return Ok(());
        }
        if code == 9 {
            self.gateways.remove(&who);
            return Ok(());
        }
        let load_at = match code {
            4 => Some(26),
            7 => Some(15),
            _ => None,
        };
        let load = match load_at {
            Some(skip) => self.load(who, &mut frame.record(at).skip(skip))?,
            None => Load::default(),
        };
        let Some(gateway) = self.gateways.get_mut(&who) else { return Ok(()) };
        let (lanes, plans) = self.known.get(&who).map_or((0, 0), |k| (k.0, k.1));
        let mut speaker = Speaker { who, now, reply };
        let out = &mut speaker;
        match code {
            1 => {
                let _stamp = record.u64("stamp")?;
                let news = match record.u8("how")? {
                    0 => HostListUpdate::Delta,
                    1 => HostListUpdate::Full,
                    2 => HostListUpdate::Cached,
                    3 => HostListUpdate::Failed,
                    n => return Err(format!("how: {n} is unknown")),
                };
                let number = record.u8("list")?;
                let none = Vec::new();
                let lines = match self.lists.get(&number) {
                    _ if news == HostListUpdate::Failed => &none,
                    Some(lines) => lines,
                    None => return Err(format!("list: {number} was never given")),
                };
                gateway.host_list_updated(now, out, news, lines);
            }
            2 => {
                let id = record.u32("ticket")?;
                let lane = record.index(lanes, "grade")?;
                let plan = record.index(plans, "package")?;
                let customer = record.u64("holder")?;
                let left = f64::from(record.u32("budget-us")?) / 1e6;
                let units = record.number("cost-units")?;
                let spread = record.number("set-size")?.clamp(1.0, 1e6) as u32;
                let first = record.number("first")?.clamp(0.0, 1e6) as u32;
                gateway.request_arrived(
                    now,
                    out,
                    Request { id, class: lane, plan, customer, remaining: left, units, spread, first },
                );
            }
            3 => {
                let inquiry = record.u32("ticket")?;
                let _nth = (record.u16("go")?, record.u32("took-us")?);
                gateway.attempt_started(now, inquiry, record.host("host")?);
            }
            4 => {
                let inquiry = record.u32("ticket")?;
                let over = record.u8("no-more")? & 1 != 0;
                let nth = record.u16("go")?;
                let took = f64::from(record.u32("took-us")?) / 1e6;
                let rc = record.u16("rc")?;
                let outcome = outcome(rc).ok_or_else(|| format!("rc: {rc} is unknown"))?;
                let true_units = f64::from(record.u16("true-units")?);
                let _used = record.u16("used")?;
                let host = record.host("host")?;
                let ended = AttemptResult {
                    request: inquiry,
                    attempt: nth,
                    final_attempt: over,
                    outcome,
                    elapsed: took,
                    true_units,
                    host,
                    load,
                };
                gateway.attempt_ended(now, out, ended);
            }
            5 => gateway.client_disconnected(now, out, record.u32("ticket")?),
            6 => gateway.timer_fired(now, out),
            7 => {
                let host = record.host("host")?;
                let well = record.u16("rc")? == 1;
                gateway.probe_finished(now, out, host, well, load);
            }
            8 => {
                // The module asks for no words from other gateways, so none are handed on.
                let _from = record.u16("src")?;
                frame.bytes(&mut record, "raw")?;
            }
            10 => {
                let total = record.f32("now-at")?;
                let answer = match record.u16("rc")? {
                    1 => CounterReply::Total(f64::from(total)),
                    3 | 5 => CounterReply::NotAdded,
                    4 => CounterReply::Unknown,
                    n => return Err(format!("rc: {n} is unknown")),
                };
                gateway.counter_replied(now, out, record.u64("entry-name")?, answer);
            }
            _ => {}
        }
        Ok(())
    }
}

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 20, stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, stdout().lock());
    let mut hall = Hall { gateways: BTreeMap::new(), known: BTreeMap::new(), lists: BTreeMap::new() };
    std::panic::set_hook(Box::new(|_| {}));
    loop {
        let mut header = Vec::new();
        input.by_ref().take(HEADER as u64).read_to_end(&mut header).map_err(|e| e.to_string())?;
        if header.is_empty() {
            return Ok(());
        }
        let frame = Frame::read(&header, &mut input)?;
        let now = frame.clock as f64 / 1e6;
        let mut reply = Reply::default();
        for at in 0..frame.count {
            let step = AssertUnwindSafe(|| hall.event(now, &frame, at, &mut reply));
            match catch_unwind(step) {
                Ok(done) => done.map_err(|e| format!("batch {}: {e}", frame.serial))?,
                Err(panic) => {
                    let text = panic.downcast_ref::<String>().cloned();
                    let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
                    let mut record = frame.record(at).skip(1);
                    let who = record.u16("who")?;
                    reply.act(9, who).bytes(text.unwrap_or_else(|| "panic".into()).as_bytes());
                }
            }
        }
        output.write_all(&reply.done(frame.serial)).map_err(|e| e.to_string())?;
        output.flush().map_err(|e| e.to_string())?;
    }
}

fn main() {
    if let Err(line) = run() {
        eprintln!("archlink-bench-adapter: {line}");
        std::process::exit(2);
    }
}
