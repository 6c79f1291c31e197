//! The process as a whole: stood still, killed, told to end or to read its file again.

use super::*;

#[test]
fn a_gateway_that_stood_still_answers_what_it_holds() {
    let hosts = [Host::start(How::Slow)];
    let gateway = gateway("still", Count::Well, &hosts);
    let mut streams = Vec::new();
    for id in 0..2 {
        let mut stream = TcpStream::connect(gateway.address).unwrap();
        stream.write_all(&look(id)).unwrap();
        streams.push(stream);
    }
    until("handed off", || hosts[0].got() == 2);
    gateway.signal(Signal::STOP);
    sleep(ms(1200));
    gateway.signal(Signal::CONT);
    for stream in streams {
        let (first, ..) = message(&mut BufReader::new(stream)).unwrap();
        assert!(first.contains(" 200 "), "{first}");
    }
    assert_eq!(hosts[0].got(), 2, "what was answered meanwhile is not sent again");
    assert_eq!(gateway.ask(&look(3)).0, 200);
}

#[test]
fn a_killed_gateway_is_back_at_its_address_at_once() {
    let hosts = [Host::start(How::Well)];
    let list = List::default();
    let told = configuration(counter(Count::Well).0, list.start(), &hosts);
    for id in 0..3 {
        let gateway = start("killed", &told, list.clone());
        let mut kept = TcpStream::connect(gateway.address).unwrap();
        kept.write_all(&look(id)).unwrap();
        assert!(message(&mut BufReader::new(kept.try_clone().unwrap())).unwrap().0.contains(" 200 "));
        drop(gateway);
    }
}

#[test]
fn sigterm_beside_a_refusing_discovery_and_a_silent_counter_answers_all_and_ends() {
    let hosts = [Host::start(How::Slow)];
    let list = List::default();
    list.refuses.store(true, Ordering::SeqCst);
    let told = configuration(counter(Count::Silent).0, list.start(), &hosts);
    let mut gateway = start("term-refusing", &told, list);
    until("discovery has refused", || !gateway.list.asked.lock().unwrap().is_empty());
    let mut kept = TcpStream::connect(gateway.address).unwrap();
    kept.write_all(&look(fresh())).unwrap();
    until("handed off", || hosts[0].got() == 1);
    gateway.signal(Signal::TERM);
    assert!(message(&mut BufReader::new(kept)).unwrap().0.contains(" 200 "));
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn sigterm_answers_all_that_was_taken_and_goes_on_accepting_for_a_while() {
    let hosts = [Host::start(How::Slow)];
    let mut gateway = gateway("term", Count::Well, &hosts);
    let mut kept = TcpStream::connect(gateway.address).unwrap();
    let mut answers = BufReader::new(kept.try_clone().unwrap());
    kept.write_all(&look(1)).unwrap();
    until("handed off", || hosts[0].got() == 1);
    gateway.signal(Signal::TERM);
    let begun = Instant::now();
    let (first, headers, _) = message(&mut answers).unwrap();
    assert!(first.contains(" 200 ") && headers["connection"] == "close");
    while begun.elapsed() < ms(400) {
        assert_eq!(gateway.ask(&look(fresh())).0, 200);
    }
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
    assert!(begun.elapsed() > ms(700));
}

#[test]
fn sigterm_waits_for_a_silent_host_no_longer_than_its_client() {
    let hosts = [Host::start(How::Silent)];
    let mut gateway = gateway("term-silent", Count::Well, &hosts);
    let mut streams = Vec::new();
    for id in 0..3 {
        let mut stream = TcpStream::connect(gateway.address).unwrap();
        stream.write_all(&inquiry("POST", "pay", "team", id, 1.5, b"once")).unwrap();
        streams.push(stream);
    }
    until("handed off", || hosts[0].got() >= 1);
    gateway.signal(Signal::TERM);
    for stream in streams {
        assert!(message(&mut BufReader::new(stream)).is_some(), "each gets its final answer");
    }
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}

/// Guards against a program that ends on SIGHUP, keeps to the old addresses (its variables still name one), loses
/// what waits on the old counter, or lets go of a good configuration for a faulty one.
#[test]
fn sighup_reads_the_file_again_and_moves_discovery_and_counter() {
    let hosts = [Host::start(How::Well), Host::start(How::Well)];
    let (old, new) = (counter(Count::FirstLate), counter(Count::Well));
    let lists = [List::default(), List::default()];
    let mut told = configuration(old.0, lists[0].start(), &hosts[..1]);
    let gateway = start("again", &told, lists[0].clone());
    let mut waiting = TcpStream::connect(gateway.address).unwrap();
    waiting.write_all(&look(1)).unwrap();
    until("the old counter is asked", || old.1.load(Ordering::SeqCst) > 0);
    told["counter"] = json!(new.0.to_string());
    told["discovery"] = json!(lists[1].start().to_string());
    lists[1].say(2, false, &[entry(1, &hosts[1], "ready"), entry(0, &hosts[0], "gone")]);
    file("again", &told.to_string());
    gateway.signal(Signal::HUP);
    assert!(message(&mut BufReader::new(waiting)).unwrap().0.contains(" 200 "));
    until("the new list is heard", || gateway.ask(&look(fresh())).0 == 200 && hosts[1].got() > 0);
    assert!(lists[1].asked.lock().unwrap()[0].contains("after=1 "));
    until("the new counter is asked", || {
        gateway.ask(&look(fresh())).0 == 200 && new.1.load(Ordering::SeqCst) > 0
    });
    let (gone, asked) = (hosts[0].got(), old.1.load(Ordering::SeqCst));
    for (nth, text) in ["{", &told.to_string().replace("127.0.0.1", "there")].iter().enumerate() {
        file("again", text);
        gateway.signal(Signal::HUP);
        sleep(ms(50));
        (0..5).for_each(|id| assert_eq!(gateway.ask(&look(10 * nth as u32 + 10 + id)).0, 200));
    }
    assert_eq!((hosts[0].got(), old.1.load(Ordering::SeqCst)), (gone, asked), "back to the old addresses");
}

#[test]
fn a_wrong_configuration_is_refused_with_its_key() {
    let dead = "127.0.0.1:1".parse().unwrap();
    for (key, place, value) in [
        ("listen", "/listen", json!("here")),
        ("seed", "/seed", json!("xyz")),
        ("counter", "/counter", json!(null)),
        ("settings.classes.0.effect", "/settings/classes/0/effect", json!("maybe")),
        ("settings.limits.max-attempts", "/settings/limits/max-attempts", json!("many")),
        ("settings.contracts.1.rate", "/settings/contracts/1/rate", json!(-2)),
        ("settings.classes.0.late-share", "/settings/classes/0/late-share", json!(1.5)),
        ("settings.contracts.0.max-out", "/settings/contracts/0/max-out", json!(3)),
    ] {
        let mut wrong = configuration(dead, dead, &[]);
        *wrong.pointer_mut(place).unwrap() = value;
        let output = program(&key.replace('.', "-"), &wrong).output().unwrap();
        let text = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success() && text.contains(&format!("{key}: ")), "{key}: {text}");
    }
}
