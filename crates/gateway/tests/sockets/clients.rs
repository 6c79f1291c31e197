//! Clients that disconnect, pipeline, send invalid requests or send nothing.

use super::*;

#[test]
fn client_disconnect_cancels_the_attempt() {
    let hosts = [Host::start(HostBehavior::Hangs)];
    let gateway = start_gateway("leaves", CounterBehavior::Counts, &hosts);
    let mut stream = TcpStream::connect(gateway.address).unwrap();
    stream.write_all(&lookup_request(1)).unwrap();
    wait_until("the attempt has started", || hosts[0].request_count() == 1);
    drop(stream);
    wait_until("the attempt is cancelled", || hosts[0].observed.open.load(Ordering::SeqCst) == 0);
}

/// Guards against missing a disconnect after the next, pipelined request has been read ahead.
#[test]
fn disconnect_after_pipelined_request_cancels_the_attempt() {
    let hosts = [Host::start(HostBehavior::Hangs)];
    let gateway = start_gateway("early", CounterBehavior::Counts, &hosts);
    let mut stream = TcpStream::connect(gateway.address).unwrap();
    let long_request = |id| request("GET", "look", "team", id, 30.0, b"");
    stream.write_all(&[long_request(1), long_request(2)].concat()).unwrap();
    wait_until("the attempt has started", || hosts[0].request_count() == 1);
    drop(stream);
    wait_until("the attempt is cancelled", || hosts[0].observed.open.load(Ordering::SeqCst) == 0);
    assert_eq!(hosts[0].request_count(), 1, "the pipelined request was started");
}

/// Invalid requests, with the status that the gateway itself answers them with.
fn invalid_requests() -> Vec<(u16, Vec<u8>)> {
    let lookup_with =
        |from: &str, to: &str| String::from_utf8(lookup_request(1)).unwrap().replace(from, to).into_bytes();
    let oversized = request("POST", "file", "team", 1, 2.5, &vec![0; 64 * 1024 + 1]);
    let keyed = request("POST", "file", "team", 3, 2.5, b"");
    let many_headers: String = (0..100).map(|n| format!("X-{n}: y\r\n")).collect();
    vec![
        (400, b"\x00\x01\x02 nonsense\r\n\r\n".to_vec()),
        (404, lookup_with("/look/", "/nothing/")),
        (405, lookup_with("GET", "POST")),
        (405, lookup_with("GET", "BREW")),
        (400, lookup_with("team", "nobody")),
        (400, lookup_with("Req-Deadline: 2.5", "Req-Deadline: soon")),
        (400, lookup_with("Req-Deadline: 2.5", "Req-Deadline: -1")),
        (400, lookup_with("Req-Deadline: 2.5", "Req-Deadline: NaN")),
        (400, lookup_with("customer=0000000000000007", "customer=ffffffffffffffff")),
        (400, lookup_with("customer=0000000000000007", "customer=+7")),
        (400, lookup_with("Req-Id: ", "Req-Other: ")),
        (400, lookup_with("units=1", "units=minus")),
        (400, lookup_with("units=1", "units=0")),
        (400, lookup_with("units=1", "units=4.5")),
        (400, lookup_with("units=1", "units=1e30")),
        (400, lookup_with("spread=1", "spread=0")),
        (400, lookup_with("spread=1", "spread=2")),
        (400, lookup_with("first=0", "first=1")),
        (400, lookup_with("first=0", "first=0.5")),
        (400, lookup_with("&y=1", "&customer=8")),
        (400, lookup_with("Host: api", "Req-Id: 0000000000000002")),
        (400, lookup_with("Content-Length: 0", "Content-Length: 0\r\nContent-Length: 5")),
        (400, lookup_with("Content-Length: 0", "Content-Length: -5")),
        (400, lookup_with("Content-Length: 0", "Content-Length: 4\r\nTransfer-Encoding: chunked")),
        (400, lookup_with("Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nzz\r\n")),
        (413, lookup_with("Content-Length: 0", "Content-Length: 99999999999999999999999")),
        (413, oversized),
        (431, lookup_with("Host: api\r\n", &many_headers)),
        (431, lookup_with("Host: api", &format!("Host: {}", "a".repeat(20_000)))),
        (400, String::from_utf8(keyed).unwrap().replace("Idempotency-Key", "Other").into_bytes()),
    ]
}

#[test]
fn invalid_request_gets_4xx_and_reaches_no_host() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let gateway = start_gateway("bad", CounterBehavior::Counts, &hosts);
    for (status, bytes) in invalid_requests() {
        assert_eq!(
            gateway.send(&bytes).0,
            status,
            "{:?}",
            String::from_utf8_lossy(&bytes[..bytes.len().min(300)])
        );
    }
    assert_eq!(hosts[0].request_count(), 0);
    assert_eq!(gateway.send(&lookup_request(unused_id())).0, 200);
}

#[test]
fn pipelined_and_chunked_requests_are_answered_in_order() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let gateway = start_gateway("pipelined", CounterBehavior::Counts, &hosts);
    let mut stream = TcpStream::connect(gateway.address).unwrap();
    let chunked = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    let keyed = String::from_utf8(request("POST", "file", "team", 3, 2.5, b"")).unwrap();
    let keyed = [keyed.replace("Content-Length: 0\r\n\r\n", "").as_bytes(), chunked].concat();
    stream.write_all(&[keyed, lookup_request(4)].concat()).unwrap();
    let mut answers = BufReader::new(stream);
    assert_eq!(read_message(&mut answers).unwrap().2, b"abcde");
    assert_eq!(read_message(&mut answers).unwrap().2, b"found");
}

/// Guards against answering a client with the reply to another client's request of the same identifier. The
/// identifier of a closed request stays in use for a while, because its client may not have read the answer yet.
#[test]
fn duplicate_request_id_gets_409_and_reaches_no_host() {
    let hosts = [Host::start(HostBehavior::AnswersSlowly)];
    let gateway = start_gateway("ids", CounterBehavior::Counts, &hosts);
    let mut first = TcpStream::connect(gateway.address).unwrap();
    first.write_all(&lookup_request(1)).unwrap();
    wait_until("the attempt has started", || hosts[0].request_count() == 1);
    assert_eq!(gateway.send(&lookup_request(1)).0, 409);
    assert!(read_message(&mut BufReader::new(first)).unwrap().0.contains(" 200 "));
    assert_eq!(gateway.send(&lookup_request(1)).0, 409);
    assert_eq!(hosts[0].request_count(), 1);
    assert_eq!(gateway.send(&lookup_request(unused_id())).0, 200);
}

/// Guards against clients that occupy a connection by sending nothing or a part of a message, and against answering
/// each request of a flood of invalid ones.
#[test]
fn idle_partial_and_invalid_input_closes_the_connection() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let gateway = start_gateway("idle", CounterBehavior::Counts, &hosts);
    let partial = lookup_request(1);
    let invalid = String::from_utf8(lookup_request(2)).unwrap().replace("/look/", "/nothing/").repeat(200);
    for (bytes, max_answers) in
        [(&b""[..], 0), (&partial[..partial.len() - 2], 0), (&partial[..20], 0), (invalid.as_bytes(), 1)]
    {
        let mut stream = TcpStream::connect(gateway.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let started = Instant::now();
        stream.write_all(bytes).ok();
        let mut answers = Vec::new();
        stream.read_to_end(&mut answers).ok();
        assert!(started.elapsed() < ms(3000), "{:?}", started.elapsed());
        assert_eq!(String::from_utf8_lossy(&answers).matches("HTTP/1.1 404").count(), max_answers);
    }
    assert_eq!(hosts[0].request_count(), 0);
}

#[test]
fn idle_and_partial_clients_exhaust_neither_descriptors_nor_memory() {
    let hosts = [Host::start(HostBehavior::Answers)];
    let gateway = start_gateway("crowd", CounterBehavior::Counts, &hosts);
    let partial = request("POST", "file", "team", 1, 2.5, &vec![0; 64 * 1024]);
    let mut open = Vec::new();
    for n in 0..900 {
        let mut stream = TcpStream::connect(gateway.address).unwrap();
        stream.set_nonblocking(true).unwrap();
        if n % 2 == 0 {
            stream.write_all(&partial[..partial.len() - 1]).ok();
        }
        open.push(stream);
        if n % 100 == 0 {
            assert_eq!(gateway.send(&lookup_request(n)).0, 200);
        }
    }
    assert_eq!(gateway.send(&lookup_request(9999)).0, 200);
    assert!(gateway.descriptors() < 700, "{}", gateway.descriptors());
    assert!(gateway.resident_kb() < 150_000, "{}", gateway.resident_kb());
}
