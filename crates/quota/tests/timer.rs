//! The counter client's timer, woken up as its driver does: at the earliest wake-up that was set.

use archlink_quota::counter_client::{CounterClient, Quota, Verdict};
use archlink_quota::pending_calls::CallResult;

/// Longest time in seconds that a request may wait for a silent counter.
const MAX_WAIT: f64 = 0.4;

fn client() -> CounterClient {
    let mut client = CounterClient::new(0.0, 1);
    let quota = Quota { tenant: "t".into(), rate: 10.0, burst: 20.0, counted_fraction: 1.0 };
    client.set_quotas(&[quota]);
    client
}

/// Guards against a client whose timer dies with the first request that the counter answers in time (review/4).
#[test]
fn silent_counter_is_given_up_after_answers_in_time_and_early_wake_ups() {
    let mut client = client();
    for n in 0..20 {
        let now = f64::from(n) * 0.05;
        let wake_at = client.wake_at().expect("a wake-up is set");
        client.request(now, "t", 2.0).unwrap();
        let adds = client.take_adds();
        let totals = vec![1.0; adds.len()];
        client.call_finished(now + 0.01, CallResult::Totals(adds, totals));
        // The driver wakes up at a time that a later setting has replaced.
        client.timer_fired((now + 0.02).min(wake_at));
    }
    client.take_verdicts();
    let (asked_at, id) = (1.1, client.request(1.1, "t", 2.0).unwrap());
    for _ in 0..100 {
        let Some(wake_at) = client.wake_at().filter(|wake_at| *wake_at <= asked_at + MAX_WAIT) else { break };
        client.timer_fired(wake_at);
    }
    let verdicts = client.take_verdicts();
    assert!(matches!(verdicts[..], [(verdict_of, Verdict::Rejected(_))] if verdict_of == id), "{verdicts:?}");
}
