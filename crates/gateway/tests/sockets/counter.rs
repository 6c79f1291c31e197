//! Counters that count, hang, reject, reply garbage or reply late, and the quotas that depend on them.

use super::*;

#[test]
fn requests_are_answered_while_the_counter_is_down_hangs_or_rejects() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let unreachable = unused_address();
    for (name, address) in [
        ("dead", unreachable),
        ("hangs", start_counter(CounterBehavior::Hangs).0),
        ("busy", start_counter(CounterBehavior::Rejects).0),
    ] {
        let gateway = start_gateway_with_counter(name, address, &hosts);
        for id in 0..30 {
            assert_eq!(gateway.send(&lookup_request(id)).0, 200, "{name}");
        }
    }
}

#[test]
fn counter_that_returns_is_called_again() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let address = unused_address();
    let gateway = start_gateway_with_counter("back", address, &hosts);
    (0..5).for_each(|id| assert_eq!(gateway.send(&lookup_request(id)).0, 200));
    let (_, calls) = start_counter_at(address, CounterBehavior::Counts);
    wait_until("the counter is called", || {
        gateway.send(&lookup_request(unused_id())).0 == 200 && calls.load(Ordering::SeqCst) > 5
    });
}

/// Guards against writing calls to a connection that no longer replies, and against a decoder that panics on garbage.
#[test]
fn counter_reply_without_number_closes_the_connection_and_costs_one_call() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let (address, calls) = start_counter(CounterBehavior::EveryThirdGarbage);
    let gateway = start_gateway_with_counter("garbage-count", address, &hosts);
    (0..30).for_each(|id| assert_eq!(gateway.send(&lookup_request(id)).0, 200));
    assert!(calls.load(Ordering::SeqCst) >= 12, "{calls:?} calls reached the counter");
}

/// Guards against being without a counter for seconds because one connection to a healthy counter hangs.
#[test]
fn hanging_counter_connection_is_replaced_within_two_seconds() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let (address, calls) = start_counter(CounterBehavior::HangsAfterTwo);
    let gateway = start_gateway_with_counter("hanging-count", address, &hosts);
    (0..3).for_each(|id| assert_eq!(gateway.send(&lookup_request(id)).0, 200));
    let started = Instant::now();
    wait_until("the counter is called on a new connection", || {
        gateway.send(&lookup_request(unused_id())).0 == 200 && calls.load(Ordering::SeqCst) > 4
    });
    assert!(started.elapsed() < ms(1800), "{:?}", started.elapsed());
}

#[test]
fn late_counter_reply_affects_no_other_request() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let gateway = start_gateway("late", CounterBehavior::FirstReplyLate, &hosts);
    assert_eq!(gateway.send(&lookup_request(1)).0, 200);
    wait_until("the late replies have arrived", || {
        sleep(ms(100));
        gateway.send(&lookup_request(unused_id())).0 == 200
    });
    (3..20).for_each(|id| assert_eq!(gateway.send(&lookup_request(id)).0, 200));
}

/// Exhausts the quota of the plan `tiny` and returns the headers of the 429 that follows.
fn exhaust_tiny_quota(gateway: &Gateway) -> HashMap<String, String> {
    (0..2).for_each(|id| assert_eq!(gateway.send(&request("GET", "look", "tiny", id, 2.5, b"")).0, 200));
    let mut stream = TcpStream::connect(gateway.address).unwrap();
    stream.write_all(&request("GET", "look", "tiny", 2, 2.5, b"")).unwrap();
    let (first, headers, _) = read_message(&mut BufReader::new(stream)).unwrap();
    assert!(first.contains(" 429 "), "{first}");
    headers
}

#[test]
fn request_beyond_quota_gets_429_with_retry_after() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let gateway = start_gateway("quota", CounterBehavior::Counts, &hosts);
    let headers = exhaust_tiny_quota(&gateway);
    assert!(headers["retry-after"].parse::<f64>().unwrap() <= 0.5);
    assert_eq!(hosts[0].request_count(), 2);
}

/// With `settles`, quotas count the units that hosts report. Without `retry-after`, a 429 has no `Retry-After`.
#[test]
fn settings_decide_on_settled_units_and_retry_after() {
    let granted_count = |settles: bool| {
        let hosts = [Host::start(HostBehavior::ReportsMoreUnits)];
        let discovery = Discovery::default();
        let mut configuration =
            gateway_configuration(start_counter(CounterBehavior::Counts).0, discovery.start(), &hosts);
        configuration["settings"]["domain"]["settles"] = json!(settles);
        configuration["settings"]["limits"]["retry-after"] = json!(false);
        configuration["settings"]["classes"][0]["late-share"] = json!(0);
        configuration["settings"]["contracts"][1] = json!({"name": "tiny", "rate": 1.0, "burst": 12.0});
        let gateway = start_with_configuration(&format!("settled-{settles}"), &configuration, discovery);
        (0..12).filter(|id| gateway.send(&request("GET", "look", "tiny", *id, 2.5, b"")).0 == 200).count()
    };
    let hosts = [Host::start(HostBehavior::Answers)];
    let discovery = Discovery::default();
    let mut configuration =
        gateway_configuration(start_counter(CounterBehavior::Counts).0, discovery.start(), &hosts);
    configuration["settings"]["limits"]["retry-after"] = json!(false);
    let gateway = start_with_configuration("no-advice", &configuration, discovery);
    let headers = exhaust_tiny_quota(&gateway);
    assert!(!headers.contains_key("retry-after"), "{headers:?}");
    let (expected, settled) = (granted_count(false), granted_count(true));
    assert!(settled * 2 < expected, "granted {expected} of one unit each, {settled} of four units each");
}

/// Guards against gateways that number quota windows differently: each would then grant the whole quota by itself.
#[test]
fn two_gateways_enforce_one_quota_together() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let (counter, _) = start_counter(CounterBehavior::Counts);
    let gateways = ["first", "second"].map(|name| {
        let discovery = Discovery::default();
        let mut configuration = gateway_configuration(counter, discovery.start(), &hosts);
        configuration["settings"]["peers-total"] = json!(2);
        start_with_configuration(name, &configuration, discovery)
    });
    let send_tiny = |id: u32| {
        let text = String::from_utf8(request("GET", "look", "tiny", id, 2.5, b"")).unwrap();
        gateways[id as usize % 2].send(text.replace("spread=1", "spread=2").as_bytes()).0
    };
    let granted = (0..8).filter(|id| send_tiny(*id) == 200).count();
    assert!((1..=2).contains(&granted), "{granted} requests granted");
    assert_eq!(hosts[0].request_count(), granted);
}
