//! Calls and replies on a connection that loses, duplicates, delays, reorders and damages replies. Guards against totals
//! that belong to another call: with replies matched by their order, one that is lost hands every later one to the wrong
//! call.

use archlink_messages::CounterAdd;
use archlink_quota::counter::Counter;
use archlink_quota::counter_client::{CounterClient, Quota, Verdict};
use archlink_quota::pending_calls::{CallResult, PendingCalls, REPLY_TIMEOUT, ReplyMatch};

/// What the counter's end of the connection does.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A call with so many adds.
    Call(usize),
    /// The reply to the n-th call comes, for the first time or again.
    Reply(usize, ReplyKind),
    Disconnect,
}

#[derive(Clone, Copy, Debug)]
enum ReplyKind {
    Complete,
    OneTotalShort,
    OneTotalLong,
    NotCounting,
}

/// Which serial number a reply is taken to have, given its own and those that are pending.
type SerialOfReply = fn(u64, &[u64]) -> u64;

/// The calls of one run, and which adds were resolved. The total of a key is the key itself, so that each total shows
/// whose it is.
struct Run {
    calls: PendingCalls,
    serial_of_reply: SerialOfReply,
    next_key: u64,
    /// Serial number and keys of each call that was sent.
    sent: Vec<(u64, Vec<u64>)>,
    pending: Vec<u64>,
    resolved_keys: Vec<u64>,
}

impl Run {
    fn resolve(&mut self, results: Vec<CallResult>) -> Result<(), String> {
        for result in results {
            let (adds, totals) = match result {
                CallResult::Totals(adds, totals) => (adds, Some(totals)),
                CallResult::NotAdded(adds) | CallResult::Unknown(adds) => (adds, None),
            };
            for (index, add) in adds.iter().enumerate() {
                self.resolved_keys.push(add.key);
                if totals.as_ref().is_some_and(|totals| totals[index] != add.key as f32) {
                    return Err(format!("{} got {totals:?}", add.key));
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
            Err(no_room) => self.resolve(vec![no_room]),
        }
    }

    fn reply(&mut self, now: f64, nth: usize, kind: ReplyKind) -> Result<(), String> {
        let Some((serial, keys)) = self.sent.get(nth).cloned() else { return Ok(()) };
        let mut totals: Vec<f32> = keys.iter().map(|key| *key as f32).collect();
        match kind {
            ReplyKind::OneTotalShort => drop(totals.pop()),
            ReplyKind::OneTotalLong => totals.push(0.0),
            ReplyKind::Complete | ReplyKind::NotCounting => {}
        }
        let totals = (!matches!(kind, ReplyKind::NotCounting)).then_some(totals);
        let taken_as = (self.serial_of_reply)(serial, &self.pending);
        let (reply_match, results) = self.calls.receive(now, taken_as, totals);
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

/// Runs the steps. `Err` says how a total reached another call, or that adds were not resolved once and in order.
fn run(steps: &[Step], serial_of_reply: SerialOfReply) -> Result<(), String> {
    let mut run = Run {
        calls: PendingCalls::default(),
        serial_of_reply,
        next_key: 0,
        sent: Vec::new(),
        pending: Vec::new(),
        resolved_keys: Vec::new(),
    };
    for (now, step) in steps.iter().enumerate() {
        match *step {
            Step::Call(add_count) => run.call(now as f64, add_count)?,
            Step::Reply(nth, kind) => run.reply(now as f64, nth, kind)?,
            Step::Disconnect => run.disconnect()?,
        }
    }
    let rest = run.calls.disconnected();
    run.resolve(rest)?;
    let all_keys: Vec<u64> = (0..run.next_key).collect();
    if run.resolved_keys == all_keys {
        Ok(())
    } else {
        Err(format!("resolved {:?} of {}", run.resolved_keys, run.next_key))
    }
}

fn step_from_bytes(action: u8, nth: u8) -> Step {
    const KINDS: [ReplyKind; 5] = [
        ReplyKind::Complete,
        ReplyKind::Complete,
        ReplyKind::OneTotalShort,
        ReplyKind::OneTotalLong,
        ReplyKind::NotCounting,
    ];
    match action {
        0..100 => Step::Call(usize::from(nth) % 4),
        100..240 => Step::Reply(usize::from(nth) % 40, KINDS[usize::from(action) % 5]),
        _ => Step::Disconnect,
    }
}

/// Each add is resolved once, in order, and by a total only if that is its own; whatever the connection does.
#[test]
fn reply_resolves_its_own_call_or_none() {
    bolero::check!().with_iterations(20_000).with_type::<Vec<(u8, u8)>>().for_each(|bytes| {
        let steps: Vec<Step> = bytes.iter().map(|&(action, nth)| step_from_bytes(action, nth)).collect();
        run(&steps, |own, _| own).unwrap();
    });
}

/// All schedules of five steps over two calls, with and without a planted fault: replies matched by their order.
#[test]
fn replies_matched_by_order_are_detected() {
    let alphabet = [
        Step::Call(1),
        Step::Reply(0, ReplyKind::Complete),
        Step::Reply(1, ReplyKind::Complete),
        Step::Disconnect,
    ];
    let mut detected = 0;
    for code in 0..4_usize.pow(5) {
        let steps: Vec<Step> = (0..5).map(|n| alphabet[code / 4_usize.pow(n) % 4]).collect();
        run(&steps, |own, _| own).unwrap();
        detected += usize::from(run(&steps, |own, pending| *pending.first().unwrap_or(&own)).is_err());
    }
    assert!(detected > 50, "{detected}");
}

/// The number of pending calls is bounded; a call that finds no room was never sent.
#[test]
fn full_table_sends_no_call() {
    let mut calls = PendingCalls::default();
    let add = CounterAdd { key: 1, amount: 1.0, lifetime: 1.0 };
    let sent = (0..1000).filter(|_| calls.send(0.0, vec![add]).is_ok()).count();
    assert!(sent < 1000 && calls.send(0.0, vec![add]) == Err(CallResult::NotAdded(vec![add])));
    assert_eq!(calls.disconnected().len(), sent);
}

/// The timeout counts from the oldest pending call or the last reply to one; an unmatched reply does not extend it.
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

/// A tenant beyond its quota and one within it call one after the other, and the first reply is lost: the second one's
/// total must not grant the first one's request. Totals that are not finite grant nothing.
#[test]
fn lost_reply_grants_nothing_by_another_calls_total() {
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
    // Another data node has used the quota up.
    let (_, serial, adds) = request(&mut client, &mut calls, "full");
    let used_up: Vec<CounterAdd> = adds.iter().map(|add| CounterAdd { amount: 20.0, ..*add }).collect();
    counter.add(1000.0, 1, &used_up);
    let (_, results) = calls.receive(1000.0, serial, counter.add(1000.0, 1, &adds));
    results.into_iter().for_each(|result| client.call_finished(1000.0, result));
    client.take_verdicts();
    let (full, _, adds) = request(&mut client, &mut calls, "full");
    counter.add(1000.0, 1, &adds);
    let (calm, serial, adds) = request(&mut client, &mut calls, "calm");
    let (reply_match, results) = calls.receive(1000.0, serial, counter.add(1000.0, 1, &adds));
    assert_eq!((reply_match, results.len()), (ReplyMatch::Answer { counts: true }, 2));
    results.into_iter().for_each(|result| client.call_finished(1000.0, result));
    let verdicts = client.take_verdicts();
    let verdict_of = |id| verdicts.iter().find(|(request, _)| *request == id).map(|(_, verdict)| *verdict);
    assert_eq!(verdict_of(calm), Some(Verdict::Granted));
    assert_ne!(verdict_of(full), Some(Verdict::Granted));
    for total in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY] {
        let (id, serial, adds) = request(&mut client, &mut calls, "calm");
        let (_, results) = calls.receive(1000.0, serial, Some(vec![total; adds.len()]));
        results.into_iter().for_each(|result| client.call_finished(1000.0, result));
        assert!(!client.take_verdicts().contains(&(id, Verdict::Granted)), "{total}");
    }
}
