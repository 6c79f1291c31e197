//! What the headers say about framing and the connection, and the header lines that are forwarded.

use httparse::Header;

/// The framing of a message, and its header lines for the next hop.
pub struct FramingHeaders {
    /// Value of `Content-Length`.
    pub length: Option<usize>,
    /// The body is chunked.
    pub chunked: bool,
    /// `Connection: close`.
    pub close: bool,
    /// `Connection: keep-alive`.
    pub keep: bool,
    /// The header lines that are forwarded, each with its CRLF.
    pub forwarded: Vec<u8>,
}

/// Headers that belong to one connection (RFC 9110, section 7.6.1) or are written anew for the next: never forwarded.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
];

/// Bytes of forwarded header lines for which memory is allocated at once: enough for usual messages.
const USUAL_FORWARDED_BYTES: usize = 256;

/// Reads the framing. Lines that are neither hop-by-hop nor among `own` are forwarded as they came.
///
/// `None` where two readers could frame the message differently: an unreadable length or two different ones, a transfer
/// coding other than one `chunked`, or both a length and chunks (RFC 9112, section 6.3; request smuggling).
pub fn framing_headers(headers: &[Header], own: &[&str]) -> Option<FramingHeaders> {
    let mut framing = FramingHeaders {
        length: None,
        chunked: false,
        close: false,
        keep: false,
        forwarded: Vec::with_capacity(USUAL_FORWARDED_BYTES),
    };
    for header in headers {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            let length = content_length(header.value)?;
            if framing.length.is_some_and(|earlier| earlier != length) {
                return None;
            }
            framing.length = Some(length);
        } else if is("transfer-encoding") {
            if framing.chunked || !header.value.eq_ignore_ascii_case(b"chunked") {
                return None;
            }
            framing.chunked = true;
        } else if is("connection") {
            framing.read_connection_options(header.value);
        } else if !HOP_BY_HOP.iter().chain(own).any(|name| is(name)) {
            framing.forward(header);
        }
    }
    if framing.chunked && framing.length.is_some() { None } else { Some(framing) }
}

impl FramingHeaders {
    fn read_connection_options(&mut self, value: &[u8]) {
        for option in value.split(|&byte| byte == b',') {
            self.close |= option.trim_ascii().eq_ignore_ascii_case(b"close");
            self.keep |= option.trim_ascii().eq_ignore_ascii_case(b"keep-alive");
        }
    }

    fn forward(&mut self, header: &Header) {
        for part in [header.name.as_bytes(), b": ", header.value, b"\r\n"] {
            self.forwarded.extend_from_slice(part);
        }
    }
}

/// Digits alone; a number beyond `usize` is as good as the largest, since both are over every limit.
fn content_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?;
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if is_number { Some(text.parse().unwrap_or(usize::MAX)) } else { None }
}

/// The value of a header that occurs once: of two, readers could go by either. `None` also where it is not UTF-8.
pub fn header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let mut matching = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    let (first, None) = (matching.next()?, matching.next()) else { return None };
    std::str::from_utf8(first.value).ok().map(str::trim)
}
