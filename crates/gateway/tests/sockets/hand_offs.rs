//! Hand-offs to hosts that answer, break, are silent, full or replaced.

use super::*;

#[test]
fn a_calm_day_passes_messages_unchanged_on_kept_connections() {
    let hosts = [Host::start(How::Well)];
    let (count, calls) = counter(Count::Well);
    let gateway = gateway_at("calm", count, &hosts);
    let mut stream = TcpStream::connect(gateway.address).unwrap();
    let mut answers = BufReader::new(stream.try_clone().unwrap());
    let large: Vec<u8> = (0..64 * 1024).map(|n| (n % 251) as u8).collect();
    for (id, how) in [How::Well, How::Chunked, How::Well].into_iter().enumerate() {
        *hosts[0].how.lock().unwrap() = how;
        stream.write_all(&inquiry("POST", "file", "team", id as u32, 2.5, &large)).unwrap();
        let (first, _, body) = message(&mut answers).unwrap();
        assert!(first.contains(" 200 ") && body == large);
        stream.write_all(&look(100 + id as u32)).unwrap();
        assert_eq!(message(&mut answers).unwrap().2, b"found");
    }
    *hosts[0].how.lock().unwrap() = How::ToEnd;
    assert_eq!(gateway.ask(&look(7)), (200, b"found".to_vec()));
    assert_eq!(hosts[0].seen.connections.load(Ordering::SeqCst), 1);
    assert!(calls.load(Ordering::SeqCst) >= 7);
    let heads = hosts[0].seen.heads.lock().unwrap();
    let (first, headers) = &heads[0];
    assert_eq!(first, "POST /file/x?customer=0000000000000007&y=1 HTTP/1.1");
    assert_eq!(
        (headers["req-id"].as_str(), headers["idempotency-key"].as_str()),
        ("0000000000000000", "key-0")
    );
    let wait: f64 = headers["req-deadline"].parse().unwrap();
    assert!(wait > 0.5 && wait <= 2.5);
}

/// A break before the last byte is written proves that nothing ran: any lane may go elsewhere. After it, only pure
/// lanes may, and receipted ones inside their group, here the host's own cell.
#[test]
fn a_broken_hand_off_is_repeated_only_where_it_cannot_run_twice() {
    for (name, how) in [
        ("after", How::ResetAfterReading),
        ("within", How::ResetInTheAnswer),
        ("nonsense", How::Nonsense),
        ("error", How::Fail),
    ] {
        let hosts = [Host::start(how), Host::start(how)];
        let gateway = gateway(name, Count::Well, &hosts);
        let got = || [hosts[0].got(), hosts[1].got()];
        assert_eq!(gateway.ask(&inquiry("POST", "pay", "team", 1, 2.5, b"once")).0, 502, "{name}");
        assert_eq!(got().iter().sum::<usize>(), 1, "{name}: an effect was sent twice");
        let before = got();
        assert_eq!(gateway.ask(&inquiry("POST", "file", "team", 2, 2.5, b"once")).0, 502, "{name}");
        let more = [got()[0] - before[0], got()[1] - before[1]];
        assert!(
            more.contains(&0) && (1..=3).contains(&(more[0] + more[1])),
            "{name}: left its group: {more:?}"
        );
        *hosts[1].how.lock().unwrap() = How::Well;
        for id in 10..14 {
            assert_eq!(gateway.ask(&look(id)).0, 200, "{name}");
        }
    }
}

#[test]
fn what_never_ran_goes_to_another_host() {
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for how in [How::ResetAtOnce, How::Decline, How::Well] {
        let mut hosts = [Host::start(how), Host::start(How::Well)];
        if how == How::Well {
            hosts[0].address = gone;
        }
        let gateway = gateway(&format!("never-{}", how as u8), Count::Well, &hosts);
        for id in 0..6 {
            let (status, _) = gateway.ask(&look(id));
            // A reset right after the accept may meet the request written already: then it may have run.
            assert_eq!(status, 200);
        }
        if how != How::ResetAtOnce {
            for id in 10..16 {
                assert_eq!(gateway.ask(&inquiry("POST", "pay", "team", id, 2.5, b"once")).0, 200);
            }
        }
    }
}

#[test]
fn a_silent_host_holds_nobody_beyond_his_time() {
    let hosts = [Host::start(How::Silent)];
    let gateway = gateway("silent", Count::Well, &hosts);
    let begun = Instant::now();
    let (status, _) = gateway.ask(&inquiry("POST", "pay", "team", 1, 1.0, b"once"));
    assert_eq!(status, 502);
    assert!(begun.elapsed() > ms(900) && begun.elapsed() < ms(2500), "{:?}", begun.elapsed());
    assert_eq!(hosts[0].got(), 1);
    until("its connection is closed", || hosts[0].seen.open.load(Ordering::SeqCst) == 0);
}

/// Hosts send more than the protocol's 64 KiB; each such reply was taken for spoilt, and its inquiry sent again.
#[test]
fn a_large_reply_is_passed_on_whole() {
    let hosts = [Host::start(How::Large)];
    let gateway = gateway("large", Count::Well, &hosts);
    let large: Vec<u8> = (0..400_000).map(|n| (n % 251) as u8).collect();
    for id in 0..20 {
        let (status, body) = gateway.ask(&look(id));
        assert!(status == 200 && body == large, "{status}, {} bytes", body.len());
    }
    assert_eq!(hosts[0].got(), 20);
    // A hundred clients that do not read theirs get no more memory than was set aside.
    let unread: Vec<TcpStream> = (100..200)
        .map(|id| {
            let mut stream = TcpStream::connect(gateway.address).unwrap();
            stream.write_all(&look(id)).unwrap();
            stream
        })
        .collect();
    sleep(ms(300));
    assert!(gateway.resident_kb() < 100_000, "{}", gateway.resident_kb());
    drop(unread);
    until("room is given back", || gateway.ask(&look(fresh())).0 == 200);
}

/// Guards against waiting for the rest of a spoilt reply until the client's time is up; it may have run.
#[test]
fn half_a_reply_is_given_up_soon_and_sent_nowhere_else() {
    let hosts = [Host::start(How::Half), Host::start(How::Half)];
    let gateway = gateway("half", Count::Well, &hosts);
    let begun = Instant::now();
    assert_eq!(gateway.ask(&inquiry("POST", "pay", "team", 1, 2.9, b"once")).0, 502);
    assert!(begun.elapsed() < ms(2000), "{:?}", begun.elapsed());
    assert_eq!(hosts[0].got() + hosts[1].got(), 1);
    until("its connection is closed", || hosts[0].seen.open.load(Ordering::SeqCst) == 0);
}

/// Guards against what is kept of a host that is gone: its connections, and what is held against it.
#[test]
fn a_new_host_at_an_old_address_is_another_one() {
    let hosts = [Host::start(How::Well)];
    let gateway = gateway("reused", Count::Well, &hosts);
    let connections = || hosts[0].seen.connections.load(Ordering::SeqCst);
    (0..3).for_each(|id| assert_eq!(gateway.ask(&look(id)).0, 200));
    assert_eq!((connections(), hosts[0].seen.open.load(Ordering::SeqCst)), (1, 1));
    gateway.list.say(2, false, &[entry(0, &hosts[0], "gone"), entry(9, &hosts[0], "ready")]);
    until("the old host's connection is closed", || hosts[0].seen.open.load(Ordering::SeqCst) == 0);
    (10..13).for_each(|id| assert_eq!(gateway.ask(&look(id)).0, 200));
    assert_eq!(connections(), 2);
}

#[test]
fn a_second_copy_saves_what_a_silent_host_holds() {
    let hosts = [Host::start(How::Silent), Host::start(How::Well)];
    let gateway = gateway("copy", Count::Well, &hosts);
    (0..4).for_each(|id| assert_eq!(gateway.ask(&look(id)).0, 200));
    assert!(hosts[0].got() >= 1);
    until("the copies are called off", || hosts[0].seen.open.load(Ordering::SeqCst) == 0);
}

/// What a host at its limit turns away has not run: it goes to another one, effectful or not, and nothing is kept open.
#[test]
fn a_host_at_its_connection_limit_costs_no_inquiry() {
    let hosts = [Host::start(How::Limited), Host::start(How::Slow), Host::start(How::Slow)];
    let gateway = gateway("limited", Count::Well, &hosts);
    let (mut streams, before) = (Vec::new(), gateway.descriptors());
    for id in 0..8 {
        let mut stream = TcpStream::connect(gateway.address).unwrap();
        stream.write_all(&inquiry("POST", "pay", "team", id, 2.5, b"once")).unwrap();
        streams.push(stream);
    }
    for stream in streams {
        let (first, ..) = message(&mut BufReader::new(stream)).unwrap();
        // Where the others are full too it is pushed back: no effect, and at once.
        assert!(first.contains(" 200 ") || first.contains(" 429 ") || first.contains(" 503 "), "{first}");
    }
    until("the limited host has served", || {
        gateway.ask(&inquiry("POST", "pay", "team", fresh(), 2.5, b"once")).0 == 200 && hosts[0].got() > 0
    });
    until("what it turned away is closed", || hosts[0].seen.open.load(Ordering::SeqCst) <= 1);
    assert!(gateway.descriptors() <= before + 3 + 8, "{} of {before}", gateway.descriptors());
}

#[test]
fn a_connection_that_the_host_closed_costs_no_inquiry() {
    let hosts = [Host::start(How::CloseAfterwards)];
    let gateway = gateway("closed", Count::Well, &hosts);
    for id in 0..10 {
        assert_eq!(gateway.ask(&inquiry("POST", "pay", "team", id, 2.5, b"once")).0, 200);
        until("it is closed", || hosts[0].seen.open.load(Ordering::SeqCst) == 0);
        // The end of it may be under way a while longer on a busy machine.
        sleep(ms(150));
    }
}
