//! Clients that leave, send early, send nonsense, or nothing.

use super::*;

#[test]
fn a_client_that_leaves_frees_the_host() {
    let hosts = [Host::start(How::Silent)];
    let gateway = gateway("leaves", Count::Well, &hosts);
    let mut stream = TcpStream::connect(gateway.address).unwrap();
    stream.write_all(&look(1)).unwrap();
    until("handed off", || hosts[0].got() == 1);
    drop(stream);
    until("called off", || hosts[0].seen.open.load(Ordering::SeqCst) == 0);
}

/// Its connection was looked at no more once its next inquiry had been read early.
#[test]
fn a_client_that_sends_early_and_leaves_frees_the_host() {
    let hosts = [Host::start(How::Silent)];
    let gateway = gateway("early", Count::Well, &hosts);
    let mut stream = TcpStream::connect(gateway.address).unwrap();
    let long = |id| inquiry("GET", "look", "team", id, 30.0, b"");
    stream.write_all(&[long(1), long(2)].concat()).unwrap();
    until("handed off", || hosts[0].got() == 1);
    drop(stream);
    until("called off", || hosts[0].seen.open.load(Ordering::SeqCst) == 0);
    assert_eq!(hosts[0].got(), 1, "what it sent early was begun");
}

#[test]
fn bad_input_gets_a_plain_4xx_and_never_a_hand_off() {
    let hosts = [Host::start(How::Well)];
    let gateway = gateway("bad", Count::Well, &hosts);
    let text = |from: &str, to: &str| String::from_utf8(look(1)).unwrap().replace(from, to).into_bytes();
    let oversized = inquiry("POST", "file", "team", 1, 2.5, &vec![0; 64 * 1024 + 1]);
    let filed = inquiry("POST", "file", "team", 3, 2.5, b"");
    let many: String = (0..100).map(|n| format!("X-{n}: y\r\n")).collect();
    let cases: Vec<(u16, Vec<u8>)> = vec![
        (400, b"\x00\x01\x02 nonsense\r\n\r\n".to_vec()),
        (404, text("/look/", "/nothing/")),
        (405, text("GET", "POST")),
        (405, text("GET", "BREW")),
        (400, text("team", "nobody")),
        (400, text("Req-Deadline: 2.5", "Req-Deadline: soon")),
        (400, text("Req-Deadline: 2.5", "Req-Deadline: -1")),
        (400, text("Req-Deadline: 2.5", "Req-Deadline: NaN")),
        (400, text("customer=0000000000000007", "customer=ffffffffffffffff")),
        (400, text("customer=0000000000000007", "customer=+7")),
        (400, text("Req-Id: ", "Req-Other: ")),
        (400, text("units=1", "units=minus")),
        (400, text("units=1", "units=0")),
        (400, text("units=1", "units=4.5")),
        (400, text("units=1", "units=1e30")),
        (400, text("spread=1", "spread=0")),
        (400, text("spread=1", "spread=2")),
        (400, text("first=0", "first=1")),
        (400, text("first=0", "first=0.5")),
        (400, text("&y=1", "&customer=8")),
        (400, text("Host: api", "Req-Id: 0000000000000002")),
        (400, text("Content-Length: 0", "Content-Length: 0\r\nContent-Length: 5")),
        (400, text("Content-Length: 0", "Content-Length: -5")),
        (400, text("Content-Length: 0", "Content-Length: 4\r\nTransfer-Encoding: chunked")),
        (400, text("Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nzz\r\n")),
        (413, text("Content-Length: 0", "Content-Length: 99999999999999999999999")),
        (413, oversized),
        (431, text("Host: api\r\n", &many)),
        (431, text("Host: api", &format!("Host: {}", "a".repeat(20_000)))),
        (400, String::from_utf8(filed.clone()).unwrap().replace("Idempotency-Key", "Other").into_bytes()),
    ];
    for (status, bytes) in cases {
        assert_eq!(
            gateway.ask(&bytes).0,
            status,
            "{:?}",
            String::from_utf8_lossy(&bytes[..bytes.len().min(300)])
        );
    }
    assert_eq!(hosts[0].got(), 0);
    assert_eq!(gateway.ask(&look(fresh())).0, 200);
    // Early next inquiries on one connection are answered in turn; chunked bodies are understood.
    let mut stream = TcpStream::connect(gateway.address).unwrap();
    let chunked = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    let filed = String::from_utf8(filed).unwrap();
    let filed = [filed.replace("Content-Length: 0\r\n\r\n", "").as_bytes(), chunked].concat();
    stream.write_all(&[filed, look(4)].concat()).unwrap();
    let mut answers = BufReader::new(stream);
    assert_eq!(message(&mut answers).unwrap().2, b"abcde");
    assert_eq!(message(&mut answers).unwrap().2, b"found");
}

/// An id still open is another client's, and what a host makes of it would be his answer. After it is closed too, as
/// he may not have read it yet.
#[test]
fn an_id_still_open_is_turned_away_and_never_handed_off() {
    let hosts = [Host::start(How::Slow)];
    let gateway = gateway("ids", Count::Well, &hosts);
    let mut first = TcpStream::connect(gateway.address).unwrap();
    first.write_all(&look(1)).unwrap();
    until("handed off", || hosts[0].got() == 1);
    assert_eq!(gateway.ask(&look(1)).0, 409);
    assert!(message(&mut BufReader::new(first)).unwrap().0.contains(" 200 "));
    assert_eq!(gateway.ask(&look(1)).0, 409);
    assert_eq!(hosts[0].got(), 1);
    assert_eq!(gateway.ask(&look(fresh())).0, 200);
}

/// Guards against clients that hold a place for long by saying nothing or half a message, and against floods that
/// are answered one by one.
#[test]
fn silence_half_messages_and_floods_of_bad_input_end_their_connections() {
    let hosts = [Host::start(How::Well)];
    let gateway = gateway("idle", Count::Well, &hosts);
    let half = look(1);
    let bad = String::from_utf8(look(2)).unwrap().replace("/look/", "/nothing/").repeat(200);
    for (bytes, most) in [(&b""[..], 0), (&half[..half.len() - 2], 0), (&half[..20], 0), (bad.as_bytes(), 1)]
    {
        let mut stream = TcpStream::connect(gateway.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let begun = Instant::now();
        stream.write_all(bytes).ok();
        let mut seen = Vec::new();
        stream.read_to_end(&mut seen).ok();
        assert!(begun.elapsed() < ms(3000), "{:?}", begun.elapsed());
        assert_eq!(String::from_utf8_lossy(&seen).matches("HTTP/1.1 404").count(), most);
    }
    assert_eq!(hosts[0].got(), 0);
}

#[test]
fn silent_and_half_sent_clients_exhaust_neither_descriptors_nor_memory() {
    let hosts = [Host::start(How::Well)];
    let gateway = gateway("crowd", Count::Well, &hosts);
    let half = inquiry("POST", "file", "team", 1, 2.5, &vec![0; 64 * 1024]);
    let mut crowd = Vec::new();
    for n in 0..900 {
        let mut stream = TcpStream::connect(gateway.address).unwrap();
        stream.set_nonblocking(true).unwrap();
        if n % 2 == 0 {
            stream.write_all(&half[..half.len() - 1]).ok();
        }
        crowd.push(stream);
        if n % 100 == 0 {
            assert_eq!(gateway.ask(&look(n)).0, 200);
        }
    }
    assert_eq!(gateway.ask(&look(9999)).0, 200);
    assert!(gateway.descriptors() < 700, "{}", gateway.descriptors());
    assert!(gateway.resident_kb() < 150_000, "{}", gateway.resident_kb());
}
