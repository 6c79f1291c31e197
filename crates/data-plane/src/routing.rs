//! Which route and which tenant a request belongs to.

use crate::data_plane::DataPlane;
use crate::protocol::request_header;
use crate::rejection::Rejection;
use archlink_config::{Configuration, Route, Tenant};
use archlink_http::codec::{HeaderValue, Request};

/// A request whose route, and tenant where the route needs a key, are known.
pub struct RoutedRequest<'a> {
    /// The configuration's route for its origin and path.
    pub route: &'a Route,
    /// `None` where the route is public or the configuration has no keys.
    pub tenant: Option<&'a Tenant>,
}

/// The route and the tenant of a request.
///
/// # Errors
/// The rejection that it gets instead. Routes and keys may have changed since the last confirmation: while there is
/// none, a missing route is "not confirmed" rather than 404, and no key is looked up.
pub fn route<'a>(
    data_plane: &DataPlane,
    configuration: &'a Configuration,
    request: &Request,
) -> Result<RoutedRequest<'a>, Rejection> {
    let origin = request.host.once().ok_or(Rejection::BadRequest)?;
    let path = request.target.split('?').next().unwrap_or("");
    let confirmed = data_plane.is_confirmed();
    let Some(index) = configuration.route(strip_port(origin), path) else {
        return Err(if confirmed { Rejection::NoRoute } else { Rejection::NotConfirmed });
    };
    let route = &configuration.routes[index];
    if route.public || !configuration.keyed {
        return Ok(RoutedRequest { route, tenant: None });
    }
    if !confirmed {
        return Err(Rejection::NotConfirmed);
    }
    let tenant = match &request.fields[request_header::KEY] {
        HeaderValue::Once(key) => configuration.tenant(key),
        HeaderValue::Absent => None,
        HeaderValue::Ambiguous => return Err(Rejection::BadRequest),
    };
    let index = tenant.ok_or(Rejection::Unauthenticated)?;
    Ok(RoutedRequest { route, tenant: Some(&configuration.tenants[index]) })
}

fn strip_port(origin: &str) -> &str {
    origin.rsplit_once(':').filter(|(_, port)| port.parse::<u16>().is_ok()).map_or(origin, |(name, _)| name)
}
