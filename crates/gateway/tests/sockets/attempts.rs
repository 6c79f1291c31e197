//! Attempts at hosts that answer, fail, hang, are at their limit or have been replaced.

use super::*;

#[test]
fn messages_pass_unchanged_on_one_pooled_connection() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let (counter, calls) = start_counter(CounterBehavior::Counts);
    let gateway = start_gateway_with_counter("calm", counter, &hosts);
    let mut stream = TcpStream::connect(gateway.address).unwrap();
    let mut answers = BufReader::new(stream.try_clone().unwrap());
    let large: Vec<u8> = (0..64 * 1024).map(|n| (n % 251) as u8).collect();
    for (id, behavior) in
        [HostBehavior::Answers, HostBehavior::AnswersChunked, HostBehavior::Answers].into_iter().enumerate()
    {
        *hosts[0].behavior.lock().unwrap() = behavior;
        stream.write_all(&request("POST", "file", "team", id as u32, 2.5, &large)).unwrap();
        let (first, _, body) = read_message(&mut answers).unwrap();
        assert!(first.contains(" 200 ") && body == large);
        stream.write_all(&lookup_request(100 + id as u32)).unwrap();
        assert_eq!(read_message(&mut answers).unwrap().2, b"found");
    }
    *hosts[0].behavior.lock().unwrap() = HostBehavior::AnswersUntilClose;
    assert_eq!(gateway.send(&lookup_request(7)), (200, b"found".to_vec()));
    assert_eq!(hosts[0].observed.connections.load(Ordering::SeqCst), 1);
    assert!(calls.load(Ordering::SeqCst) >= 7);
    let heads = hosts[0].observed.heads.lock().unwrap();
    let (request_line, headers) = &heads[0];
    assert_eq!(request_line, "POST /file/x?customer=0000000000000007&y=1 HTTP/1.1");
    assert_eq!(
        (headers["req-id"].as_str(), headers["idempotency-key"].as_str()),
        ("0000000000000000", "key-0")
    );
    let deadline: f64 = headers["req-deadline"].parse().unwrap();
    assert!(deadline > 0.5 && deadline <= 2.5);
}

/// Guards against running a request twice. Once its last byte is written it may have run, so only pure requests may be
/// retried, and deduplicated ones only within their deduplication scope, here the host's own cell.
#[test]
fn broken_attempt_is_retried_only_where_it_cannot_run_twice() {
    for (name, behavior) in [
        ("after", HostBehavior::ResetsAfterRequest),
        ("within", HostBehavior::ResetsMidReply),
        ("nonsense", HostBehavior::RepliesGarbage),
        ("error", HostBehavior::Fails),
    ] {
        let hosts = [Host::start(behavior), Host::start(behavior)];
        let gateway = start_gateway(name, CounterBehavior::Counts, &hosts);
        let request_counts = || [hosts[0].request_count(), hosts[1].request_count()];
        assert_eq!(gateway.send(&request("POST", "pay", "team", 1, 2.5, b"once")).0, 502, "{name}");
        assert_eq!(request_counts().iter().sum::<usize>(), 1, "{name}: an effectful request was sent twice");
        let before = request_counts();
        assert_eq!(gateway.send(&request("POST", "file", "team", 2, 2.5, b"once")).0, 502, "{name}");
        let added = [request_counts()[0] - before[0], request_counts()[1] - before[1]];
        assert!(
            added.contains(&0) && (1..=3).contains(&(added[0] + added[1])),
            "{name}: retried outside its deduplication scope: {added:?}"
        );
        *hosts[1].behavior.lock().unwrap() = HostBehavior::Answers;
        for id in 10..14 {
            assert_eq!(gateway.send(&lookup_request(id)).0, 200, "{name}");
        }
    }
}

#[test]
fn request_that_never_ran_is_retried_at_another_host() {
    let closed_address = unused_address();
    for behavior in [HostBehavior::ResetsOnAccept, HostBehavior::Declines, HostBehavior::Answers] {
        let mut hosts = [Host::start(behavior), Host::start(HostBehavior::Answers)];
        if behavior == HostBehavior::Answers {
            hosts[0].address = closed_address;
        }
        let gateway = start_gateway(&format!("never-{}", behavior as u8), CounterBehavior::Counts, &hosts);
        for id in 0..6 {
            let (status, _) = gateway.send(&lookup_request(id));
            // A reset after the accept may come when the request is already written; a pure request is retried even
            // then.
            assert_eq!(status, 200);
        }
        if behavior != HostBehavior::ResetsOnAccept {
            for id in 10..16 {
                assert_eq!(gateway.send(&request("POST", "pay", "team", id, 2.5, b"once")).0, 200);
            }
        }
    }
}

#[test]
fn hanging_host_delays_no_client_beyond_its_deadline() {
    let hosts = [Host::start(HostBehavior::Hangs)];
    let gateway = start_gateway("silent", CounterBehavior::Counts, &hosts);
    let started = Instant::now();
    let (status, _) = gateway.send(&request("POST", "pay", "team", 1, 1.0, b"once"));
    assert_eq!(status, 502);
    assert!(started.elapsed() > ms(900) && started.elapsed() < ms(2500), "{:?}", started.elapsed());
    assert_eq!(hosts[0].request_count(), 1);
    wait_until("the host's connection is closed", || hosts[0].observed.open.load(Ordering::SeqCst) == 0);
}

/// Hosts may send more than the protocol's 64 KiB. Guards against treating such a reply as broken and retrying its
/// request.
#[test]
fn large_reply_passes_complete_within_its_memory_share() {
    let hosts = [Host::start(HostBehavior::AnswersLarge)];
    let gateway = start_gateway("large", CounterBehavior::Counts, &hosts);
    let large: Vec<u8> = (0..400_000).map(|n| (n % 251) as u8).collect();
    for id in 0..20 {
        let (status, body) = gateway.send(&lookup_request(id));
        assert!(status == 200 && body == large, "{status}, {} bytes", body.len());
    }
    assert_eq!(hosts[0].request_count(), 20);
    // The replies to a hundred clients that do not read them use no more memory than is reserved for large replies.
    let unread: Vec<TcpStream> = (100..200)
        .map(|id| {
            let mut stream = TcpStream::connect(gateway.address).unwrap();
            stream.write_all(&lookup_request(id)).unwrap();
            stream
        })
        .collect();
    sleep(ms(300));
    assert!(gateway.resident_kb() < 100_000, "{}", gateway.resident_kb());
    drop(unread);
    wait_until("the reservations are released", || gateway.send(&lookup_request(unused_id())).0 == 200);
}

/// Guards against waiting for the rest of a truncated reply until the client's deadline. The request may have run, so
/// it is not retried.
#[test]
fn truncated_reply_times_out_early_and_is_not_retried() {
    let hosts = [Host::start(HostBehavior::StopsMidReply), Host::start(HostBehavior::StopsMidReply)];
    let gateway = start_gateway("half", CounterBehavior::Counts, &hosts);
    let started = Instant::now();
    assert_eq!(gateway.send(&request("POST", "pay", "team", 1, 2.9, b"once")).0, 502);
    assert!(started.elapsed() < ms(2000), "{:?}", started.elapsed());
    assert_eq!(hosts[0].request_count() + hosts[1].request_count(), 1);
    wait_until("the host's connection is closed", || hosts[0].observed.open.load(Ordering::SeqCst) == 0);
}

/// Guards against keeping the pooled connections or the health of a removed host.
#[test]
fn new_host_at_a_reused_address_gets_new_connections() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let gateway = start_gateway("reused", CounterBehavior::Counts, &hosts);
    let connections = || hosts[0].observed.connections.load(Ordering::SeqCst);
    (0..3).for_each(|id| assert_eq!(gateway.send(&lookup_request(id)).0, 200));
    assert_eq!((connections(), hosts[0].observed.open.load(Ordering::SeqCst)), (1, 1));
    gateway.discovery.publish(
        2,
        false,
        &[host_entry(0, &hosts[0], "gone"), host_entry(9, &hosts[0], "ready")],
    );
    wait_until("the old host's connection is closed", || hosts[0].observed.open.load(Ordering::SeqCst) == 0);
    (10..13).for_each(|id| assert_eq!(gateway.send(&lookup_request(id)).0, 200));
    assert_eq!(connections(), 2);
}

#[test]
fn hedged_request_answers_while_a_host_hangs() {
    let hosts = [Host::start(HostBehavior::Hangs), Host::start(HostBehavior::Answers)];
    let gateway = start_gateway("copy", CounterBehavior::Counts, &hosts);
    (0..4).for_each(|id| assert_eq!(gateway.send(&lookup_request(id)).0, 200));
    assert!(hosts[0].request_count() >= 1);
    wait_until("the hedged attempts are cancelled", || hosts[0].observed.open.load(Ordering::SeqCst) == 0);
}

/// A request that a host at its limit declines has not run, so it is retried at another host even if effectful. Guards
/// against failing it, and against leaking the connection.
#[test]
fn host_at_its_connection_limit_fails_no_request() {
    let hosts = [
        Host::start(HostBehavior::AllowsOneConnection),
        Host::start(HostBehavior::AnswersSlowly),
        Host::start(HostBehavior::AnswersSlowly),
    ];
    let gateway = start_gateway("limited", CounterBehavior::Counts, &hosts);
    let (mut streams, descriptors_before) = (Vec::new(), gateway.descriptors());
    for id in 0..8 {
        let mut stream = TcpStream::connect(gateway.address).unwrap();
        stream.write_all(&request("POST", "pay", "team", id, 2.5, b"once")).unwrap();
        streams.push(stream);
    }
    for stream in streams {
        let (first, ..) = read_message(&mut BufReader::new(stream)).unwrap();
        // If the other hosts are full too, the request is rejected at once without having run.
        assert!(first.contains(" 200 ") || first.contains(" 429 ") || first.contains(" 503 "), "{first}");
    }
    wait_until("the host with the connection limit has served", || {
        gateway.send(&request("POST", "pay", "team", unused_id(), 2.5, b"once")).0 == 200
            && hosts[0].request_count() > 0
    });
    wait_until("the declined connections are closed", || hosts[0].observed.open.load(Ordering::SeqCst) <= 1);
    assert!(
        gateway.descriptors() <= descriptors_before + 3 + 8,
        "{} descriptors, {descriptors_before} before",
        gateway.descriptors()
    );
}

#[test]
fn connection_closed_by_the_host_fails_no_request() {
    let hosts = [Host::start(HostBehavior::ClosesAfterReply)];
    let gateway = start_gateway("closed", CounterBehavior::Counts, &hosts);
    for id in 0..10 {
        assert_eq!(gateway.send(&request("POST", "pay", "team", id, 2.5, b"once")).0, 200);
        wait_until("the host has closed the connection", || {
            hosts[0].observed.open.load(Ordering::SeqCst) == 0
        });
        // On a busy machine the gateway may notice the close a while later.
        sleep(ms(150));
    }
}
