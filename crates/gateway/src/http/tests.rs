//! Property tests of both codecs with fragmented and corrupted messages.

use super::{ClientCodec, HostCodec};
use archlink_admission_settings::ParsedSettings;
use bytes::BytesMut;
use quickcheck::{Gen, QuickCheck};
use std::io;
use std::rc::Rc;
use tokio_util::codec::Decoder;

fn settings() -> Rc<ParsedSettings> {
    let lines = "classes.count=2\nclasses.0.name=look\nclasses.0.effect=pure\nclasses.0.on-time-us=1\n\
        classes.0.deadline-us=1\nclasses.1.name=file\nclasses.1.effect=token\nclasses.1.on-time-us=1\n\
        classes.1.deadline-us=1\ncontracts.count=1\ncontracts.0.name=team\npeers-total=1\n\
        limits.max-attempts=1\nobligations.drain-grace-us=0\nobligations.cold-from=1\n\
        obligations.warm-up-us=0\nobligations.tip-multiple=1\nobligations.overload-for-us=0\n";
    Rc::new(archlink_admission_settings::from_lines(lines).unwrap())
}

const REQUESTS: &[u8] = b"GET /look?customer=7 HTTP/1.1\r\nReq-Id: 1\r\nX-Tariff: team\r\nReq-Deadline: 1\r\n\r\n\
    POST /file?customer=8 HTTP/1.1\r\nReq-Id: 2\r\nX-Tariff: team\r\nReq-Deadline: 1\r\nIdempotency-Key: k\r\n\
    Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n1\r\nd\r\n0\r\nT: x\r\n\r\n\r\nGET /up HTTP/1.1\r\n\r\n\
    POST /look HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde";
const REPLIES: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\nSrv-Load: util=0.5,x=1\r\nSrv-Units: 3\r\n\r\n\
    abcHTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\
    Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n";

/// Decodes bytes that arrive in fragments of the given lengths; returns the items up to the end or the first error.
fn decode_fragments<D: Decoder<Error = io::Error>>(
    mut codec: D,
    bytes: &[u8],
    fragment_lengths: &[u8],
) -> Vec<String>
where
    D::Item: std::fmt::Debug,
{
    let (mut buffer, mut items, mut remaining, mut fragment_lengths) =
        (BytesMut::new(), Vec::new(), bytes, fragment_lengths.iter());
    loop {
        let length = fragment_lengths
            .next()
            .map_or(remaining.len(), |length| remaining.len().min(usize::from(*length)));
        buffer.extend_from_slice(&remaining[..length]);
        remaining = &remaining[length..];
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(item)) => items.push(format!("{item:?}")),
                Ok(None) => break,
                Err(_) => return items,
            }
        }
        if remaining.is_empty() {
            return items;
        }
    }
}

fn check_property(seed: u64, property: fn(Vec<u8>, Vec<(u16, u8)>) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(120, seed)).tests(2000).quickcheck(property);
}

#[test]
fn messages_decode_the_same_however_fragmented() {
    fn property(fragment_lengths: Vec<u8>, _: Vec<(u16, u8)>) -> bool {
        let requests = decode_fragments(ClientCodec::new(settings()), REQUESTS, &fragment_lengths);
        let replies = decode_fragments(HostCodec::default(), REPLIES, &fragment_lengths);
        requests == decode_fragments(ClientCodec::new(settings()), REQUESTS, &[])
            && replies == decode_fragments(HostCodec::default(), REPLIES, &[])
            && (requests.len(), replies.len()) == (4, 3)
    }
    check_property(1, property);
}

/// Corrupted bytes may decode to fewer or other messages, but never cause a panic and decode the same however
/// fragmented.
#[test]
fn corrupted_messages_never_panic_and_decode_the_same_however_fragmented() {
    fn property(fragment_lengths: Vec<u8>, corruptions: Vec<(u16, u8)>) -> bool {
        let corrupted = |bytes: &[u8]| {
            let mut bytes = bytes.to_vec();
            for (offset, byte) in &corruptions {
                let offset = usize::from(*offset) % bytes.len();
                bytes[offset] = *byte;
            }
            bytes
        };
        let (requests, replies) = (corrupted(REQUESTS), corrupted(REPLIES));
        decode_fragments(ClientCodec::new(settings()), &requests, &fragment_lengths)
            == decode_fragments(ClientCodec::new(settings()), &requests, &[])
            && decode_fragments(HostCodec::default(), &replies, &fragment_lengths)
                == decode_fragments(HostCodec::default(), &replies, &[])
    }
    check_property(2, property);
}
