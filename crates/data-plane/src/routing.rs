//! Determines the route and the tenant of a request.

use crate::data_plane::DataPlane;
use crate::local_reply::LocalReply;
use crate::protocol::request_header;
use archlink_config::{Configuration, Route, Tenant};
use archlink_http::codec::{HeaderValue, Request};

/// The route and the tenant of a request.
pub struct RoutedRequest<'a> {
    /// The configuration's route for the origin and path.
    pub route: &'a Route,
    /// The tenant that the key belongs to; `None` if the route is public or the configuration has no keys.
    pub tenant: Option<&'a Tenant>,
}

/// Determines the route and the tenant of a request.
///
/// While the configuration is not confirmed, routes and keys may have changed: a missing route is answered as "not
/// confirmed" instead of 404, and no key is looked up.
///
/// # Errors
///
/// Returns the local reply if the request is rejected.
pub fn route<'a>(
    data_plane: &DataPlane,
    configuration: &'a Configuration,
    request: &Request,
) -> Result<RoutedRequest<'a>, LocalReply> {
    let origin = request.host.once().ok_or(LocalReply::BadRequest)?;
    let path = request.target.split('?').next().unwrap_or("");
    let confirmed = data_plane.is_confirmed();
    let Some(index) = configuration.route(strip_port(origin), path) else {
        return Err(if confirmed { LocalReply::NoRoute } else { LocalReply::NotConfirmed });
    };
    let route = &configuration.routes[index];
    if route.public || !configuration.keyed {
        return Ok(RoutedRequest { route, tenant: None });
    }
    if !confirmed {
        return Err(LocalReply::NotConfirmed);
    }
    let tenant = match &request.fields[request_header::KEY] {
        HeaderValue::Once(key) => configuration.tenant(key),
        HeaderValue::Absent => None,
        HeaderValue::Ambiguous => return Err(LocalReply::BadRequest),
    };
    let index = tenant.ok_or(LocalReply::Unauthenticated)?;
    Ok(RoutedRequest { route, tenant: Some(&configuration.tenants[index]) })
}

fn strip_port(origin: &str) -> &str {
    origin.rsplit_once(':').filter(|(_, port)| port.parse::<u16>().is_ok()).map_or(origin, |(name, _)| name)
}
