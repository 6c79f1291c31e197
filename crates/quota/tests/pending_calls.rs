//! Calls and replies on a connection that loses, duplicates, delays, reorders and corrupts replies. Guards against resolving
//! a call with the totals of another call: if replies were matched by their order, a single lost reply would assign every
//! later one to the wrong call.

use archlink_messages::CounterAdd;
use archlink_quota::counter::Counter;
use archlink_quota::counter_client::{CounterClient, Quota, Verdict};
use archlink_quota::pending_calls::{CallResult, PendingCalls, REPLY_TIMEOUT, ReplyMatch};

/// An event on the connection to the counter.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The data node sends a call with this number of adds.
    Call(usize),
    /// The reply to the call with this index arrives, for the first time or again.
    Reply(usize, ReplyKind),
    /// The connection ends.
    Disconnect,
}

#[derive(Clone, Copy, Debug)]
enum ReplyKind {
    Complete,
    /// One total is missing.
    OneTotalShort,
    /// There is one total too many.
    OneTotalLong,
    /// The node does not serve the counter.
    NotServing,
}

/// The serial number that a reply is matched by, given its own and those of the pending calls.
type SerialOfReply = fn(u64, &[u64]) -> u64;

/// The calls of one schedule, and the adds that were resolved. The total of a key is the key itself, so that each total
/// identifies its add.
struct Simulation {
    calls: PendingCalls,
    serial_of_reply: SerialOfReply,
    next_key: u64,
    /// Serial number and keys of each call that was sent.
    sent: Vec<(u64, Vec<u64>)>,
    /// Serial numbers of the calls that may still get a reply.
    pending: Vec<u64>,
    resolved_keys: Vec<u64>,
}

impl Simulation {
    /// Records the adds of `results` as resolved. `Err` if one of them got the total of another add.
    fn resolve(&mut self, results: Vec<CallResult>) -> Result<(), String> {
        for result in results {
            let (adds, totals) = match result {
                CallResult::Totals(adds, totals) => (adds, Some(totals)),
                CallResult::NotAdded(adds) | CallResult::Unknown(adds) => (adds, None),
            };
            for (index, add) in adds.iter().enumerate() {
                self.resolved_keys.push(add.key);
                if totals.as_ref().is_some_and(|totals| totals[index] != add.key as f32) {
                    return Err(format!("the add to key {} got one of the totals {totals:?}", add.key));
                }
            }
        }
        Ok(())
    }

    fn call(&mut self, now: f64, add_count: usize) -> Result<(), String> {
        let adds: Vec<CounterAdd> = (0..add_count as u64)
            .map(|n| CounterAdd { key: self.next_key + n, amount: 1.0, lifetime: 1.0 })
            .collect();
        let keys: Vec<u64> = adds.iter().map(|add| add.key).collect();
        self.next_key += keys.len() as u64;
        match self.calls.send(now, adds) {
            Ok((serial, _)) => {
                self.pending.push(serial);
                self.sent.push((serial, keys));
                Ok(())
            }
            Err(not_added) => self.resolve(vec![not_added]),
        }
    }

    fn reply(&mut self, now: f64, call_index: usize, kind: ReplyKind) -> Result<(), String> {
        let Some((serial, keys)) = self.sent.get(call_index).cloned() else { return Ok(()) };
        let mut totals: Vec<f32> = keys.iter().map(|key| *key as f32).collect();
        match kind {
            ReplyKind::OneTotalShort => drop(totals.pop()),
            ReplyKind::OneTotalLong => totals.push(0.0),
            ReplyKind::Complete | ReplyKind::NotServing => {}
        }
        let totals = (!matches!(kind, ReplyKind::NotServing)).then_some(totals);
        let matched_serial = (self.serial_of_reply)(serial, &self.pending);
        let (reply_match, results) = self.calls.receive(now, matched_serial, totals);
        if reply_match == ReplyMatch::Unmatched && !results.is_empty() {
            return Err("an unmatched reply resolved calls".into());
        }
        self.pending.retain(|other| *other > serial);
        self.resolve(results)
    }

    fn disconnect(&mut self) -> Result<(), String> {
        self.pending.clear();
        let results = self.calls.disconnected();
        self.resolve(results)
    }
}

/// Runs the steps and then ends the connection. `Err` if an add got the total of another one, or if the adds were not
/// resolved exactly once and in order.
fn run(steps: &[Step], serial_of_reply: SerialOfReply) -> Result<(), String> {
    let mut simulation = Simulation {
        calls: PendingCalls::default(),
        serial_of_reply,
        next_key: 0,
        sent: Vec::new(),
        pending: Vec::new(),
        resolved_keys: Vec::new(),
    };
    for (now, step) in steps.iter().enumerate() {
        match *step {
            Step::Call(add_count) => simulation.call(now as f64, add_count)?,
            Step::Reply(call_index, kind) => simulation.reply(now as f64, call_index, kind)?,
            Step::Disconnect => simulation.disconnect()?,
        }
    }
    let still_pending = simulation.calls.disconnected();
    simulation.resolve(still_pending)?;
    let all_keys: Vec<u64> = (0..simulation.next_key).collect();
    if simulation.resolved_keys == all_keys {
        Ok(())
    } else {
        Err(format!("resolved keys {:?} of {} adds", simulation.resolved_keys, simulation.next_key))
    }
}

/// Maps two arbitrary bytes to a step.
fn step_from_bytes(action: u8, argument: u8) -> Step {
    const KINDS: [ReplyKind; 5] = [
        ReplyKind::Complete,
        ReplyKind::Complete,
        ReplyKind::OneTotalShort,
        ReplyKind::OneTotalLong,
        ReplyKind::NotServing,
    ];
    match action {
        0..100 => Step::Call(usize::from(argument) % 4),
        100..240 => Step::Reply(usize::from(argument) % 40, KINDS[usize::from(action) % 5]),
        _ => Step::Disconnect,
    }
}

/// Each add is resolved exactly once, in order, and with no total but its own, whatever happens on the connection.
#[test]
fn reply_resolves_its_own_call_or_none() {
    bolero::check!().with_iterations(20_000).with_type::<Vec<(u8, u8)>>().for_each(|bytes| {
        let steps: Vec<Step> =
            bytes.iter().map(|&(action, argument)| step_from_bytes(action, argument)).collect();
        run(&steps, |own_serial, _| own_serial).unwrap();
    });
}

/// Runs all schedules of five steps over two calls. They pass as they are, and more than 50 of them detect an injected fault
/// that matches replies by their order.
#[test]
fn replies_matched_by_order_are_detected() {
    let possible_steps = [
        Step::Call(1),
        Step::Reply(0, ReplyKind::Complete),
        Step::Reply(1, ReplyKind::Complete),
        Step::Disconnect,
    ];
    let mut detected = 0;
    for schedule in 0..4_usize.pow(5) {
        let steps: Vec<Step> =
            (0..5).map(|position| possible_steps[schedule / 4_usize.pow(position) % 4]).collect();
        run(&steps, |own_serial, _| own_serial).unwrap();
        let with_fault = run(&steps, |own_serial, pending| *pending.first().unwrap_or(&own_serial));
        detected += usize::from(with_fault.is_err());
    }
    assert!(detected > 50, "the fault was detected in {detected} schedules");
}

/// The number of pending calls is bounded, and a call beyond the limit is certainly not sent.
#[test]
fn call_beyond_the_limit_is_not_sent() {
    let mut calls = PendingCalls::default();
    let add = CounterAdd { key: 1, amount: 1.0, lifetime: 1.0 };
    let sent = (0..1000).filter(|_| calls.send(0.0, vec![add]).is_ok()).count();
    assert!(sent < 1000 && calls.send(0.0, vec![add]) == Err(CallResult::NotAdded(vec![add])));
    assert_eq!(calls.disconnected().len(), sent);
}

/// The timeout starts with the oldest pending call or the last matched reply, whichever is later; an unmatched reply does
/// not extend it.
#[test]
fn only_matched_replies_extend_the_timeout() {
    let mut calls = PendingCalls::default();
    assert_eq!(calls.times_out_at(), None);
    let call = |calls: &mut PendingCalls, at| calls.send(at, Vec::new()).unwrap().0;
    let (first, second) = (call(&mut calls, 1.0), call(&mut calls, 1.1));
    assert_eq!(calls.times_out_at(), Some(1.0 + REPLY_TIMEOUT));
    calls.receive(1.2, first, Some(Vec::new()));
    for unmatched in [first, second + 1] {
        assert_eq!(calls.receive(1.3, unmatched, Some(Vec::new())), (ReplyMatch::Unmatched, Vec::new()));
        assert_eq!(calls.times_out_at(), Some(1.2 + REPLY_TIMEOUT));
    }
    calls.receive(1.4, second, None);
    assert_eq!(calls.times_out_at(), None);
}

/// A tenant over its quota and one within it call one after the other, and the first reply is lost: the total of the second
/// call must not grant the request of the first one. Totals that are not finite grant nothing.
#[test]
fn total_of_another_call_grants_nothing_after_a_lost_reply() {
    let quota =
        |tenant: &str, rate| Quota { tenant: tenant.into(), rate, burst: rate, counted_fraction: 1.0 };
    let mut client = CounterClient::new(1000.0, 1);
    client.set_quotas(&[quota("full", 1.0), quota("calm", 50.0)]);
    let (mut counter, mut calls) = (Counter::default(), PendingCalls::default());
    let request = |client: &mut CounterClient, calls: &mut PendingCalls, tenant: &str| {
        let id = client.request(1000.0, tenant, 1.0).unwrap();
        let (serial, adds) = calls.send(1000.0, client.take_adds()).unwrap();
        (id, serial, adds.to_vec())
    };
    // Another data node has used up the quota of tenant "full".
    let (_, serial, adds) = request(&mut client, &mut calls, "full");
    let used_up: Vec<CounterAdd> = adds.iter().map(|add| CounterAdd { amount: 20.0, ..*add }).collect();
    counter.add(1000.0, 1, &used_up);
    let (_, results) = calls.receive(1000.0, serial, counter.add(1000.0, 1, &adds));
    results.into_iter().for_each(|result| client.call_finished(1000.0, result));
    client.take_verdicts();
    let (over_quota, _, adds) = request(&mut client, &mut calls, "full");
    counter.add(1000.0, 1, &adds);
    let (within_quota, serial, adds) = request(&mut client, &mut calls, "calm");
    let (reply_match, results) = calls.receive(1000.0, serial, counter.add(1000.0, 1, &adds));
    assert_eq!((reply_match, results.len()), (ReplyMatch::Answer { serves_counter: true }, 2));
    results.into_iter().for_each(|result| client.call_finished(1000.0, result));
    let verdicts = client.take_verdicts();
    let verdict_of =
        |id| verdicts.iter().find(|(request_id, _)| *request_id == id).map(|(_, verdict)| *verdict);
    assert_eq!(verdict_of(within_quota), Some(Verdict::Granted));
    assert_ne!(verdict_of(over_quota), Some(Verdict::Granted));
    for total in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY] {
        let (id, serial, adds) = request(&mut client, &mut calls, "calm");
        let (_, results) = calls.receive(1000.0, serial, Some(vec![total; adds.len()]));
        results.into_iter().for_each(|result| client.call_finished(1000.0, result));
        assert!(!client.take_verdicts().contains(&(id, Verdict::Granted)), "granted by the total {total}");
    }
}
