//! Converts the parsed head of a client's request to a [`ClientRequest`], with the classes and plans of the settings.

use super::InvalidRequest::{self, Malformed};
use super::{ClientRequest, parse_number};
use crate::protocol::{IDEMPOTENCY_KEY, REQ_DEADLINE, REQ_ID, X_TARIFF, X_WEIGHT};
use archlink_admission::interface::{AdmissionSettings, Effect, Request};
use archlink_admission_settings::ParsedSettings;
use archlink_http::frame::header;
use bytes::Bytes;
use httparse::Header;

/// Longest identifier of a request, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 256;
/// Maximum number of hexadecimal digits of a customer number, and the first number that is out of range.
const MAX_CUSTOMER_DIGITS: usize = 16;
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Longest deadline, in seconds: no client waits for a day, and a longer time could overflow the clock's arithmetic.
const MAX_DEADLINE: f64 = 86_400.0;

/// Parses a request without its body; `forwarded` are the header lines to forward to the host.
pub fn parse_request(
    settings: &ParsedSettings,
    head: &httparse::Request,
    forwarded: Vec<u8>,
) -> Result<ClientRequest, InvalidRequest> {
    let target = head.path.unwrap_or("/");
    let class = parse_class(settings, target)?;
    let effect = settings.admission.classes[class].effect;
    let method = parse_method(effect, head.method)?;
    let plan = parse_plan(settings, head.headers)?;
    let customer = parse_customer(target)?;
    let header_value = |name| header(head.headers, name);
    let remaining = header_value(REQ_DEADLINE).and_then(parse_number).ok_or(Malformed)?;
    let id =
        header_value(REQ_ID).filter(|id| (1..=MAX_REQUEST_ID_BYTES).contains(&id.len())).ok_or(Malformed)?;
    if effect == Effect::Deduplicated && header_value(IDEMPOTENCY_KEY).is_none_or(str::is_empty) {
        return Err(Malformed);
    }
    let Weight { units, spread, first } = parse_weight(&settings.admission, head.headers)?;
    let remaining = remaining.min(MAX_DEADLINE);
    let request = Request { id: 0, class, plan, customer, remaining, units, spread, first };
    Ok(ClientRequest {
        id: id.into(),
        request,
        method,
        target: target.to_string(),
        forwarded,
        body: Bytes::new(),
    })
}

/// Returns the index of the request class, which the first segment of the path names.
fn parse_class(settings: &ParsedSettings, target: &str) -> Result<usize, InvalidRequest> {
    let path = target.split('?').next().unwrap_or(target);
    let class = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let index = settings.classes.iter().position(|name| name == class && !class.is_empty());
    index.ok_or(InvalidRequest::UnknownClass)
}

fn parse_method(effect: Effect, method: Option<&str>) -> Result<&'static str, InvalidRequest> {
    match (effect, method) {
        (Effect::Pure, Some("GET")) => Ok("GET"),
        (Effect::Deduplicated | Effect::Effectful, Some("POST")) => Ok("POST"),
        _ => Err(InvalidRequest::WrongMethod),
    }
}

fn parse_plan(settings: &ParsedSettings, headers: &[Header]) -> Result<usize, InvalidRequest> {
    let is_named = |name: &str| header(headers, X_TARIFF).is_some_and(|plan| plan == name);
    settings.plans.iter().position(|name| is_named(name)).ok_or(Malformed)
}

fn parse_customer(target: &str) -> Result<u64, InvalidRequest> {
    query_value(target, "customer")
        .filter(|digits| digits.len() <= MAX_CUSTOMER_DIGITS && !digits.starts_with('+'))
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .filter(|customer| *customer < CUSTOMER_LIMIT)
        .ok_or(Malformed)
}

struct Weight {
    units: f64,
    spread: u32,
    first: u32,
}

/// Parses the weight of a request. A value out of range is rejected: it would charge the named customer for the
/// requests of others.
fn parse_weight(settings: &AdmissionSettings, headers: &[Header]) -> Result<Weight, InvalidRequest> {
    let text = match headers.iter().any(|field| field.name.eq_ignore_ascii_case(X_WEIGHT)) {
        true => header(headers, X_WEIGHT).ok_or(Malformed)?,
        false => "",
    };
    let units = list_value(text, "units").map_or(Some(1.0), parse_number);
    let units =
        units.filter(|units| *units > 0.0 && *units <= settings.max_units.max(1.0)).ok_or(Malformed)?;
    let integer = |name, default: u32| list_value(text, name).map_or(Some(default), |text| text.parse().ok());
    let spread =
        integer("spread", 1).filter(|count| (1..=settings.gateways).contains(count)).ok_or(Malformed)?;
    let first = integer("first", 0).filter(|number| *number < settings.gateways).ok_or(Malformed)?;
    Ok(Weight { units, spread, first })
}

/// Returns the value of a query parameter, or `None` unless it occurs exactly once.
fn query_value<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut occurrences =
        query.split('&').filter_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    let ((_, value), None) = (occurrences.next()?, occurrences.next()) else { return None };
    Some(value)
}

/// Returns a value of a list such as `units=2,spread=3,first=1`.
fn list_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(',')
        .find_map(|pair| pair.trim().split_once('=').filter(|(key, _)| *key == name))
        .map(|(_, value)| value)
}
