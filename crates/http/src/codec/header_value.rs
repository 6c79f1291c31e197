//! The value of a header that the user of a codec wants to read.

use crate::frame::header;
use httparse::Header;

/// The value of a header in a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum HeaderValue {
    /// No header line.
    #[default]
    Absent,
    /// One header line with text.
    Once(String),
    /// Several header lines, or a value that is not UTF-8: the next parser may interpret it differently.
    Ambiguous,
}

impl HeaderValue {
    /// The text, if there is exactly one header line.
    pub fn once(&self) -> Option<&str> {
        if let HeaderValue::Once(text) = self { Some(text) } else { None }
    }

    pub(super) fn find(headers: &[Header], name: &str) -> HeaderValue {
        match header(headers, name) {
            Some(text) => HeaderValue::Once(text.to_string()),
            None if headers.iter().any(|header| header.name.eq_ignore_ascii_case(name)) => {
                HeaderValue::Ambiguous
            }
            None => HeaderValue::Absent,
        }
    }

    /// The values of all headers in `names`, in the same order.
    pub(super) fn find_all(headers: &[Header], names: &[&str]) -> Vec<HeaderValue> {
        names.iter().map(|name| HeaderValue::find(headers, name)).collect()
    }
}
