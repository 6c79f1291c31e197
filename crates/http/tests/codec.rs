//! What the codecs accept, reject and encode.

use archlink_http::codec::{
    ClientCodec, Decoded, HostResponse, MAX_UNRESERVED_BODY, OutgoingRequest, Response, ServerCodec,
};
use archlink_http::error::ProtocolError;
use bytes::BytesMut;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use tokio_util::codec::{Decoder, Encoder};

fn memory(bytes: usize) -> Rc<Cell<usize>> {
    Rc::new(Cell::new(bytes))
}

/// Everything that a server decodes from these bytes: requests with their header `key`, and the statuses of rejections.
fn decoded_requests(bytes: &[u8]) -> Vec<String> {
    let mut codec = ServerCodec::new(&["key"], 100, memory(1000));
    let mut buffer = BytesMut::from(bytes);
    let mut decoded = Vec::new();
    while let Ok(Some(next)) = codec.decode(&mut buffer) {
        decoded.push(match next {
            Decoded::Rejected(status) => status.to_string(),
            Decoded::Request(request) => format!(
                "{} {} {:?} {:?}",
                request.method,
                request.target,
                request.fields[0].once(),
                request.body
            ),
        });
    }
    decoded
}

/// Guards against request smuggling: input that two parsers could interpret differently is never decoded as a request.
#[test]
fn ambiguous_request_is_rejected_and_ends_decoding() {
    let smuggled = "GET /inner HTTP/1.1\r\n\r\n";
    for request in [
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
        "GET / HTTP/1.1\nHost: a\r\n\r\n",
        "GET / HTTP/1.1\r\nA: b\rc\r\n\r\n",
        "GET / HTTP/1.1\r\nA : b\r\n\r\n",
        "GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n",
        "GET http://a/ HTTP/1.1\r\n\r\n",
    ] {
        assert_eq!(decoded_requests(format!("{request}{smuggled}").as_bytes()), ["400"], "{request:?}");
    }
}

#[test]
fn repeated_header_is_ambiguous() {
    let repeated = b"GET /a HTTP/1.1\r\nKey: a\r\nkey: b\r\n\r\n";
    assert_eq!(decoded_requests(repeated), ["GET /a None b\"\""]);
}

/// A body over the limit is always rejected; one for which memory is lacking may be accepted later, which the codec
/// reports.
#[test]
fn large_body_needs_reserved_memory() {
    assert_eq!(decoded_requests(b"POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n"), ["413"]);
    let rejected_and_out_of_memory = |length: usize| {
        let mut codec = ServerCodec::new(&[], MAX_UNRESERVED_BODY * 4, memory(MAX_UNRESERVED_BODY));
        let head = format!("POST /a HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
        let decoded = codec.decode(&mut BytesMut::from(head.as_bytes()));
        (matches!(decoded, Ok(Some(Decoded::Rejected(413)))), codec.out_of_memory())
    };
    assert_eq!(rejected_and_out_of_memory(MAX_UNRESERVED_BODY * 5), (true, false));
    assert_eq!(rejected_and_out_of_memory(MAX_UNRESERVED_BODY * 2), (true, true));
}

#[test]
fn request_after_a_chunked_body_is_read() {
    let two_requests = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\nab\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
    assert_eq!(decoded_requests(two_requests), ["POST /a None b\"ab\"", "GET /b None b\"\""]);
}

/// A client would take the body of a response to HEAD for the next response, so the server sends none and the client
/// codec waits for none.
#[test]
fn response_to_head_has_no_body() {
    let mut server = ServerCodec::new(&[], 100, memory(1000));
    let (mut request, mut response) = (BytesMut::from(&b"HEAD /a HTTP/1.1\r\n\r\n"[..]), BytesMut::new());
    assert!(matches!(server.decode(&mut request), Ok(Some(Decoded::Request(_)))));
    server.encode(Response::json(405, "{}"), &mut response).unwrap();
    assert!(response.ends_with(b"\r\n\r\n"), "{response:?}");
    let mut client = ClientCodec::new(&[], 100, memory(1000));
    let head = OutgoingRequest { method: "HEAD", target: "/a", host: "a", header_lines: b"", body: b"" };
    client.encode(head, &mut request).unwrap();
    assert!(matches!(client.decode(&mut response), Ok(Some(HostResponse { status: 405, .. }))));
    assert!(response.is_empty());
}

/// Guards against panics, and against decoding without end, on arbitrary bytes.
#[test]
fn arbitrary_bytes_are_decoded_or_rejected() {
    bolero::check!().with_iterations(20_000).for_each(|bytes: &[u8]| {
        decoded_requests(bytes);
        let mut codec = ClientCodec::new(&["key"], 100, memory(1000));
        let mut buffer = BytesMut::from(&b"HTTP/1.1 200 OK\r\n"[..]);
        buffer.extend_from_slice(bytes);
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
    });
}

/// A response that can't be decoded is reported as an `io::Error` with the reason as its inner error.
#[test]
fn invalid_response_reports_its_reason() {
    let cases: [(&[u8], io::ErrorKind, ProtocolError); 7] = [
        (b"SSH-2.0-x\r\n\r\n", io::ErrorKind::InvalidData, ProtocolError::ResponseHead),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            io::ErrorKind::InvalidData,
            ProtocolError::ResponseFraming,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            io::ErrorKind::InvalidData,
            ProtocolError::ChunkSize,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
            io::ErrorKind::InvalidData,
            ProtocolError::ChunkEnd,
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 200001\r\n\r\n",
            io::ErrorKind::InvalidData,
            ProtocolError::BodyTooLarge { limit: 200_000 },
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
            io::ErrorKind::InvalidData,
            ProtocolError::OutOfMemory { needed: 100_000 },
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
            io::ErrorKind::UnexpectedEof,
            ProtocolError::Truncated,
        ),
    ];
    for (bytes, kind, reason) in cases {
        let mut codec = ClientCodec::new(&[], 200_000, memory(1000));
        let error = codec.decode_eof(&mut BytesMut::from(bytes)).unwrap_err();
        assert_eq!(error.kind(), kind, "{reason}");
        let inner = error.get_ref().and_then(|inner| inner.downcast_ref::<ProtocolError>());
        assert_eq!(inner, Some(&reason));
    }
}
