//! The counter: at hand, silent, spoilt, late; and the quotas that hang on it.

use super::*;

#[test]
fn a_counter_that_is_dead_silent_or_refusing_stops_nobody() {
    let hosts = [Host::start(How::Well)];
    let dead = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for (name, address) in
        [("dead", dead), ("mute", counter(Count::Silent).0), ("busy", counter(Count::Busy).0)]
    {
        let gateway = gateway_at(name, address, &hosts);
        for id in 0..30 {
            assert_eq!(gateway.ask(&look(id)).0, 200, "{name}");
        }
    }
}

#[test]
fn a_counter_that_comes_back_is_asked_again() {
    let hosts = [Host::start(How::Well)];
    // An address of its own: on the common one another test may get the port before the counter is back.
    let dead = TcpListener::bind("127.0.0.2:0").unwrap().local_addr().unwrap();
    let gateway = gateway_at("back", dead, &hosts);
    (0..5).for_each(|id| assert_eq!(gateway.ask(&look(id)).0, 200));
    let (_, calls) = counter_at(dead, Count::Well);
    until("it is asked", || gateway.ask(&look(fresh())).0 == 200 && calls.load(Ordering::SeqCst) > 5);
}

/// Guards against calls written on to a connection that answers nothing more, and a decoder that panics on noise.
#[test]
fn a_count_without_a_number_ends_its_connection_and_costs_one_call() {
    let hosts = [Host::start(How::Well)];
    let (address, calls) = counter(Count::Spoilt);
    let gateway = gateway_at("spoilt-count", address, &hosts);
    (0..30).for_each(|id| assert_eq!(gateway.ask(&look(id)).0, 200));
    assert!(calls.load(Ordering::SeqCst) >= 12, "{calls:?} calls reached the counter");
}

/// Guards against deciding alone for seconds because one connection to a sound counter has fallen silent.
#[test]
fn a_mute_connection_to_the_counter_is_given_up_soon() {
    let hosts = [Host::start(How::Well)];
    let (address, calls) = counter(Count::Mute);
    let gateway = gateway_at("mute-count", address, &hosts);
    (0..3).for_each(|id| assert_eq!(gateway.ask(&look(id)).0, 200));
    let begun = Instant::now();
    until("it is asked anew", || gateway.ask(&look(fresh())).0 == 200 && calls.load(Ordering::SeqCst) > 4);
    assert!(begun.elapsed() < ms(1800), "{:?}", begun.elapsed());
}

#[test]
fn a_late_count_goes_to_nobody_else() {
    let hosts = [Host::start(How::Well)];
    let gateway = gateway("late", Count::FirstLate, &hosts);
    assert_eq!(gateway.ask(&look(1)).0, 200);
    until("late answers are in", || {
        sleep(ms(100));
        gateway.ask(&look(fresh())).0 == 200
    });
    (3..20).for_each(|id| assert_eq!(gateway.ask(&look(id)).0, 200));
}

/// Uses the plan `tiny` up; the headers of the 429 that follows.
fn beyond_tiny(gateway: &Gateway) -> HashMap<String, String> {
    (0..2).for_each(|id| assert_eq!(gateway.ask(&inquiry("GET", "look", "tiny", id, 2.5, b"")).0, 200));
    let mut stream = TcpStream::connect(gateway.address).unwrap();
    stream.write_all(&inquiry("GET", "look", "tiny", 2, 2.5, b"")).unwrap();
    let (first, headers, _) = message(&mut BufReader::new(stream)).unwrap();
    assert!(first.contains(" 429 "), "{first}");
    headers
}

#[test]
fn quotas_push_back_at_once_with_advice() {
    let hosts = [Host::start(How::Well)];
    let gateway = gateway("quota", Count::Well, &hosts);
    let headers = beyond_tiny(&gateway);
    assert!(headers["retry-after"].parse::<f64>().unwrap() <= 0.5);
    assert_eq!(hosts[0].got(), 2);
}

/// The settings of the move: quotas by what hosts say that an inquiry counted, and no word of when to come back.
#[test]
fn units_are_settled_and_advice_is_left_out_where_the_settings_say_so() {
    let granted = |settles: bool| {
        let hosts = [Host::start(How::Dearer)];
        let list = List::default();
        let mut told = configuration(counter(Count::Well).0, list.start(), &hosts);
        told["settings"]["domain"]["settles"] = json!(settles);
        told["settings"]["limits"]["retry-after"] = json!(false);
        told["settings"]["classes"][0]["late-share"] = json!(0);
        told["settings"]["contracts"][1] = json!({"name": "tiny", "rate": 1.0, "burst": 12.0});
        let gateway = start(&format!("settled-{settles}"), &told, list);
        (0..12).filter(|id| gateway.ask(&inquiry("GET", "look", "tiny", *id, 2.5, b"")).0 == 200).count()
    };
    let hosts = [Host::start(How::Well)];
    let list = List::default();
    let mut told = configuration(counter(Count::Well).0, list.start(), &hosts);
    told["settings"]["limits"]["retry-after"] = json!(false);
    let gateway = start("no-advice", &told, list);
    let headers = beyond_tiny(&gateway);
    assert!(!headers.contains_key("retry-after"), "{headers:?}");
    let (guessed, settled) = (granted(false), granted(true));
    assert!(settled * 2 < guessed, "{guessed} of one unit each, {settled} that count four");
}

/// Windows carry the same numbers at every gateway, or each would grant the quota by itself.
#[test]
fn two_gateways_grant_one_quota_together() {
    let hosts = [Host::start(How::Well)];
    let (count, _) = counter(Count::Well);
    let gateways = ["first", "second"].map(|name| {
        let list = List::default();
        let mut told = configuration(count, list.start(), &hosts);
        told["settings"]["peers-total"] = json!(2);
        start(name, &told, list)
    });
    let tiny = |id: u32| {
        let text = String::from_utf8(inquiry("GET", "look", "tiny", id, 2.5, b"")).unwrap();
        gateways[id as usize % 2].ask(text.replace("spread=1", "spread=2").as_bytes()).0
    };
    let granted = (0..8).filter(|id| tiny(*id) == 200).count();
    assert!((1..=2).contains(&granted), "{granted}");
    assert_eq!(hosts[0].got(), granted);
}
