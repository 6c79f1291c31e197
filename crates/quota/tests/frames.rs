//! Questions and answers on a connection that drops, doubles, delays, swaps and damages answers. Guards against totals that
//! answer another question: with answers matched by their order, one that is lost hands every later one to the wrong asker.

use archlink_messages::CounterAdd;
use archlink_quota::counter::Counter;
use archlink_quota::counter_client::{Asker, Quota, Verdict};
use archlink_quota::pending_calls::{CallResult, PendingCalls, REPLY_TIMEOUT, ReplyMatch};

#[derive(Clone, Copy, Debug)]
enum Step {
    Ask(usize),
    /// The n-th question's answer comes, or comes again.
    Answer(usize, Kind),
    HangUp,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Right,
    Short,
    Long,
    Declined,
}

/// Plays the steps; `number` is the number that an answer is taken for, of its own and those that are out. The total of a
/// name is the name itself, so that each tells whose it is.
fn play(steps: &[Step], number: fn(u64, &[u64]) -> u64) -> Result<(), String> {
    let (mut frames, mut names) = (PendingCalls::default(), 0);
    let mut asked: Vec<(u64, Vec<u64>)> = Vec::new();
    let (mut out, mut settled): (Vec<u64>, Vec<u64>) = Default::default();
    let mut take = |now: Vec<CallResult>| -> Result<(), String> {
        for one in now {
            let (adds, totals) = match one {
                CallResult::Totals(adds, totals) => (adds, Some(totals)),
                CallResult::NotAdded(adds) | CallResult::Unknown(adds) => (adds, None),
            };
            for (n, add) in adds.iter().enumerate() {
                settled.push(add.key);
                if totals.as_ref().is_some_and(|totals| totals[n] != add.key as f32) {
                    return Err(format!("{} got {totals:?}", add.key));
                }
            }
        }
        Ok(())
    };
    for (at, step) in steps.iter().enumerate() {
        match *step {
            Step::Ask(count) => {
                let adds: Vec<CounterAdd> = (0..count as u64)
                    .map(|n| CounterAdd { key: names + n, amount: 1.0, lifetime: 1.0 })
                    .collect();
                let own: Vec<u64> = adds.iter().map(|add| add.key).collect();
                names += own.len() as u64;
                match frames.send(at as f64, adds) {
                    Ok((serial, _)) => {
                        out.push(serial);
                        asked.push((serial, own));
                    }
                    Err(full) => take(vec![full])?,
                }
            }
            Step::Answer(nth, kind) => {
                let Some((serial, own)) = asked.get(nth) else { continue };
                let mut totals: Vec<f32> = own.iter().map(|name| *name as f32).collect();
                match kind {
                    Kind::Short => drop(totals.pop()),
                    Kind::Long => totals.push(0.0),
                    Kind::Right | Kind::Declined => {}
                }
                let totals = (!matches!(kind, Kind::Declined)).then_some(totals);
                let (heard, now) = frames.receive(at as f64, number(*serial, &out), totals);
                if heard == ReplyMatch::Unmatched && !now.is_empty() {
                    return Err("nobody's answer settled something".into());
                }
                out.retain(|other| other > serial);
                take(now)?;
            }
            Step::HangUp => {
                out.clear();
                take(frames.disconnected())?;
            }
        }
    }
    take(frames.disconnected())?;
    let each: Vec<u64> = (0..names).collect();
    if settled == each { Ok(()) } else { Err(format!("settled {settled:?} of {names}")) }
}

fn step(byte: u8, nth: u8) -> Step {
    let kind = [Kind::Right, Kind::Right, Kind::Short, Kind::Long, Kind::Declined][usize::from(byte) % 5];
    match byte {
        0..100 => Step::Ask(usize::from(nth) % 4),
        100..240 => Step::Answer(usize::from(nth) % 40, kind),
        _ => Step::HangUp,
    }
}

/// Each add is settled once, in order, and by a total only if that is its own; whatever the connection does.
#[test]
fn an_answer_reaches_its_own_question_or_none() {
    bolero::check!().with_iterations(20_000).with_type::<Vec<(u8, u8)>>().for_each(|bytes| {
        let steps: Vec<Step> = bytes.iter().map(|&(byte, nth)| step(byte, nth)).collect();
        play(&steps, |own, _| own).unwrap();
    });
}

/// All schedules of five steps over two questions, and the fault planted in them: answers taken in order.
#[test]
fn answers_taken_by_order_are_found_out() {
    let alphabet = [Step::Ask(1), Step::Answer(0, Kind::Right), Step::Answer(1, Kind::Right), Step::HangUp];
    let mut found = 0;
    for code in 0..4_usize.pow(5) {
        let steps: Vec<Step> = (0..5).map(|n| alphabet[code / 4_usize.pow(n) % 4]).collect();
        play(&steps, |own, _| own).unwrap();
        found += usize::from(play(&steps, |own, out| *out.first().unwrap_or(&own)).is_err());
    }
    assert!(found > 50, "{found}");
}

/// No more than a bounded number of questions is out; what finds no room was never sent.
#[test]
fn a_full_table_sends_nothing() {
    let mut frames = PendingCalls::default();
    let add = CounterAdd { key: 1, amount: 1.0, lifetime: 1.0 };
    let sent = (0..1000).filter(|_| frames.send(0.0, vec![add]).is_ok()).count();
    assert!(sent < 1000 && frames.send(0.0, vec![add]) == Err(CallResult::NotAdded(vec![add])));
    assert_eq!(frames.disconnected().len(), sent);
}

/// Silence counts from the oldest question out or the last answer to one; what is nobody's is no sign of life.
#[test]
fn only_an_answer_ends_a_silence() {
    let mut frames = PendingCalls::default();
    assert_eq!(frames.times_out_at(), None);
    let ask = |frames: &mut PendingCalls, at| frames.send(at, Vec::new()).unwrap().0;
    let (first, second) = (ask(&mut frames, 1.0), ask(&mut frames, 1.1));
    assert_eq!(frames.times_out_at(), Some(1.0 + REPLY_TIMEOUT));
    frames.receive(1.2, first, Some(Vec::new()));
    for nobodys in [first, second + 1] {
        assert_eq!(frames.receive(1.3, nobodys, Some(Vec::new())), (ReplyMatch::Unmatched, Vec::new()));
        assert_eq!(frames.times_out_at(), Some(1.2 + REPLY_TIMEOUT));
    }
    frames.receive(1.4, second, None);
    assert_eq!(frames.times_out_at(), None);
}

/// A tenant beyond its quota and one within it ask one after the other, and the first answer is lost: the second one's
/// total must not let the first one on. Totals that are no number let nobody on.
#[test]
fn a_lost_answer_lets_nobody_on_by_anothers_total() {
    let quota = |tenant: &str, rate| Quota { tenant: tenant.into(), rate, burst: rate, counted: 1.0 };
    let mut asker = Asker::new(1000.0, 1);
    asker.quotas(&[quota("full", 1.0), quota("calm", 50.0)]);
    let (mut book, mut frames) = (Counter::default(), PendingCalls::default());
    let ask = |asker: &mut Asker, frames: &mut PendingCalls, tenant: &str| {
        let id = asker.request(1000.0, tenant, 1.0).unwrap();
        let (serial, adds) = frames.send(1000.0, asker.take_adds()).unwrap();
        (id, serial, adds.to_vec())
    };
    // Another gateway has used the quota up.
    let (_, serial, adds) = ask(&mut asker, &mut frames, "full");
    let spent: Vec<CounterAdd> = adds.iter().map(|add| CounterAdd { amount: 20.0, ..*add }).collect();
    book.add(1000.0, 1, &spent);
    let (_, settled) = frames.receive(1000.0, serial, book.add(1000.0, 1, &adds));
    settled.into_iter().for_each(|one| asker.call_finished(1000.0, one));
    asker.take_verdicts();
    let (full, _, adds) = ask(&mut asker, &mut frames, "full");
    book.add(1000.0, 1, &adds);
    let (calm, serial, adds) = ask(&mut asker, &mut frames, "calm");
    let (heard, settled) = frames.receive(1000.0, serial, book.add(1000.0, 1, &adds));
    assert_eq!((heard, settled.len()), (ReplyMatch::Answer { counts: true }, 2));
    settled.into_iter().for_each(|one| asker.call_finished(1000.0, one));
    let verdicts = asker.take_verdicts();
    let of = |id| verdicts.iter().find(|(asked, _)| *asked == id).map(|(_, verdict)| *verdict);
    assert_eq!(of(calm), Some(Verdict::Granted));
    assert_ne!(of(full), Some(Verdict::Granted));
    for bad in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY] {
        let (id, serial, adds) = ask(&mut asker, &mut frames, "calm");
        let (_, settled) = frames.receive(1000.0, serial, Some(vec![bad; adds.len()]));
        settled.into_iter().for_each(|one| asker.call_finished(1000.0, one));
        assert!(!asker.take_verdicts().contains(&(id, Verdict::Granted)), "{bad}");
    }
}
