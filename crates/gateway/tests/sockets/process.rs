//! The process under signals (suspend, kill, terminate, reload) and with invalid configurations.

use super::*;

#[test]
fn suspended_gateway_answers_its_open_requests() {
    let hosts = [Host::start(HostBehavior::AnswersSlowly)];
    let gateway = start_gateway("still", CounterBehavior::Counts, &hosts);
    let mut streams = Vec::new();
    for id in 0..2 {
        let mut stream = TcpStream::connect(gateway.address).unwrap();
        stream.write_all(&lookup_request(id)).unwrap();
        streams.push(stream);
    }
    wait_until("the attempts have started", || hosts[0].request_count() == 2);
    gateway.signal(Signal::STOP);
    sleep(ms(1200));
    gateway.signal(Signal::CONT);
    for stream in streams {
        let (first, ..) = read_message(&mut BufReader::new(stream)).unwrap();
        assert!(first.contains(" 200 "), "{first}");
    }
    assert_eq!(hosts[0].request_count(), 2, "a request answered during the suspension was retried");
    assert_eq!(gateway.send(&lookup_request(3)).0, 200);
}

#[test]
fn killed_gateway_can_bind_its_address_at_once() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let discovery = Discovery::default();
    let configuration =
        gateway_configuration(start_counter(CounterBehavior::Counts).0, discovery.start(), &hosts);
    for id in 0..3 {
        let gateway = start_with_configuration("killed", &configuration, discovery.clone());
        let mut kept = TcpStream::connect(gateway.address).unwrap();
        kept.write_all(&lookup_request(id)).unwrap();
        assert!(read_message(&mut BufReader::new(kept.try_clone().unwrap())).unwrap().0.contains(" 200 "));
        drop(gateway);
    }
}

#[test]
fn sigterm_drains_while_discovery_rejects_and_the_counter_hangs() {
    let hosts = [Host::start(HostBehavior::AnswersSlowly)];
    let discovery = Discovery::default();
    discovery.rejects.store(true, Ordering::SeqCst);
    let configuration =
        gateway_configuration(start_counter(CounterBehavior::Hangs).0, discovery.start(), &hosts);
    let mut gateway = start_with_configuration("term-refusing", &configuration, discovery);
    wait_until("discovery has rejected a watch", || {
        !gateway.discovery.watch_requests.lock().unwrap().is_empty()
    });
    let mut kept = TcpStream::connect(gateway.address).unwrap();
    kept.write_all(&lookup_request(unused_id())).unwrap();
    wait_until("the attempt has started", || hosts[0].request_count() == 1);
    gateway.signal(Signal::TERM);
    assert!(read_message(&mut BufReader::new(kept)).unwrap().0.contains(" 200 "));
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn sigterm_answers_open_requests_and_accepts_for_a_while() {
    let hosts = [Host::start(HostBehavior::AnswersSlowly)];
    let mut gateway = start_gateway("term", CounterBehavior::Counts, &hosts);
    let mut kept = TcpStream::connect(gateway.address).unwrap();
    let mut answers = BufReader::new(kept.try_clone().unwrap());
    kept.write_all(&lookup_request(1)).unwrap();
    wait_until("the attempt has started", || hosts[0].request_count() == 1);
    gateway.signal(Signal::TERM);
    let started = Instant::now();
    let (first, headers, _) = read_message(&mut answers).unwrap();
    assert!(first.contains(" 200 ") && headers["connection"] == "close");
    while started.elapsed() < ms(400) {
        assert_eq!(gateway.send(&lookup_request(unused_id())).0, 200);
    }
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
    assert!(started.elapsed() > ms(700));
}

#[test]
fn sigterm_waits_for_a_hanging_host_no_longer_than_its_client() {
    let hosts = [Host::start(HostBehavior::Hangs)];
    let mut gateway = start_gateway("term-silent", CounterBehavior::Counts, &hosts);
    let mut streams = Vec::new();
    for id in 0..3 {
        let mut stream = TcpStream::connect(gateway.address).unwrap();
        stream.write_all(&request("POST", "pay", "team", id, 1.5, b"once")).unwrap();
        streams.push(stream);
    }
    wait_until("an attempt has started", || hosts[0].request_count() >= 1);
    gateway.signal(Signal::TERM);
    for stream in streams {
        assert!(read_message(&mut BufReader::new(stream)).is_some(), "a client got no final answer");
    }
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}

/// Guards against a process that ends on SIGHUP, keeps the old addresses (its environment still names one), loses calls
/// that wait for the old counter, or replaces a valid configuration with an invalid one.
#[test]
fn sighup_reloads_the_file_and_moves_discovery_and_counter() {
    let hosts = [Host::start(HostBehavior::Answers), Host::start(HostBehavior::Answers)];
    let (old, new) = (start_counter(CounterBehavior::FirstReplyLate), start_counter(CounterBehavior::Counts));
    let discoveries = [Discovery::default(), Discovery::default()];
    let mut configuration = gateway_configuration(old.0, discoveries[0].start(), &hosts[..1]);
    let gateway = start_with_configuration("again", &configuration, discoveries[0].clone());
    let mut waiting = TcpStream::connect(gateway.address).unwrap();
    waiting.write_all(&lookup_request(1)).unwrap();
    wait_until("the old counter is called", || old.1.load(Ordering::SeqCst) > 0);
    configuration["counter"] = json!(new.0.to_string());
    configuration["discovery"] = json!(discoveries[1].start().to_string());
    discoveries[1].publish(2, false, &[host_entry(1, &hosts[1], "ready"), host_entry(0, &hosts[0], "gone")]);
    write_configuration("again", &configuration.to_string());
    gateway.signal(Signal::HUP);
    assert!(read_message(&mut BufReader::new(waiting)).unwrap().0.contains(" 200 "));
    wait_until("the new list is applied", || {
        gateway.send(&lookup_request(unused_id())).0 == 200 && hosts[1].request_count() > 0
    });
    assert!(discoveries[1].watch_requests.lock().unwrap()[0].contains("after=1 "));
    wait_until("the new counter is called", || {
        gateway.send(&lookup_request(unused_id())).0 == 200 && new.1.load(Ordering::SeqCst) > 0
    });
    let (removed_host_requests, old_counter_calls) = (hosts[0].request_count(), old.1.load(Ordering::SeqCst));
    let without_ips = configuration
        .to_string()
        .replace("127.0.0.1", "there")
        .replace(&gateway.address.ip().to_string(), "there");
    for (reload, text) in ["{", &without_ips].iter().enumerate() {
        write_configuration("again", text);
        gateway.signal(Signal::HUP);
        sleep(ms(50));
        (0..5).for_each(|id| assert_eq!(gateway.send(&lookup_request(10 * reload as u32 + 10 + id)).0, 200));
    }
    assert_eq!(
        (hosts[0].request_count(), old.1.load(Ordering::SeqCst)),
        (removed_host_requests, old_counter_calls),
        "the gateway returned to the old addresses"
    );
}

#[test]
fn invalid_configuration_is_rejected_with_its_key() {
    let unreachable = "127.0.0.1:1".parse().unwrap();
    for (key, pointer, value) in [
        ("listen", "/listen", json!("here")),
        ("seed", "/seed", json!("xyz")),
        ("counter", "/counter", json!(null)),
        ("settings.classes.0.effect", "/settings/classes/0/effect", json!("maybe")),
        ("settings.limits.max-attempts", "/settings/limits/max-attempts", json!("many")),
        ("settings.contracts.1.rate", "/settings/contracts/1/rate", json!(-2)),
        ("settings.classes.0.late-share", "/settings/classes/0/late-share", json!(1.5)),
        ("settings.contracts.0.max-out", "/settings/contracts/0/max-out", json!(3)),
    ] {
        let mut invalid = gateway_configuration(unreachable, unreachable, &[]);
        *invalid.pointer_mut(pointer).unwrap() = value;
        let output = gateway_command(&key.replace('.', "-"), &invalid).output().unwrap();
        let text = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success() && text.contains(&format!("{key}: ")), "{key}: {text}");
    }
}
