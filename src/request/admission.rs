//! Finds the route of a request and checks the caller's key. Holds no state.

use std::sync::Arc;
use std::time::Instant;

use crate::prelude::*;
use crate::process::distribution::freshness::Freshness;
use crate::version::compiled::{CompiledConfig, Route};

/// The route of an admitted request and the customer that it runs for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admitted {
    /// The route that serves the path.
    pub route: Arc<Route>,
    /// The customer; `None` on open routes.
    pub customer: Option<CustomerId>,
    /// The hash of the caller's key, which is checked again before each attempt; `None` on open routes.
    pub key_hash: Option<Digest>,
}

/// Finds the route of `path` and, unless the route is open, the customer of the key.
///
/// # Errors
/// Returns a refusal of kind `NotFound` or `InvalidKey`, or an error of `check_key`.
pub fn admit(
    compiled: &CompiledConfig,
    freshness: &Freshness,
    now: Instant,
    path: &str,
    key_hash: Option<Digest>,
) -> Result<Admitted, Refusal> {
    let Some(route) = compiled.route(path) else {
        let message = format!("no route serves {path}; check the path");
        return Err(Refusal::not_run(RefusalKind::NotFound, message));
    };
    if route.open {
        return Ok(Admitted {
            route: route.clone(),
            customer: None,
            key_hash: None,
        });
    }
    let Some(hash) = key_hash else {
        let message = "no key; send an Authorization: Bearer header";
        return Err(Refusal::not_run(RefusalKind::InvalidKey, message));
    };
    let customer = check_key(compiled, freshness, now, &hash, &route.id)?;
    Ok(Admitted {
        route: route.clone(),
        customer: Some(customer),
        key_hash,
    })
}

/// Checks a key against a configuration version and a route, and returns the key's customer.
///
/// # Errors
/// Returns a refusal of kind `Unavailable` if the configuration was last confirmed too long ago, `InvalidKey` if it
/// does not have the key, or `Forbidden` if the key does not cover the route.
pub fn check_key(
    compiled: &CompiledConfig,
    freshness: &Freshness,
    now: Instant,
    hash: &Digest,
    route: &RouteId,
) -> Result<CustomerId, Refusal> {
    // An unknown key is refused as unavailable too, because it may be newer than the configuration.
    freshness.check(now)?;
    let Some(key) = compiled.key(hash) else {
        let message = "key unknown or withdrawn; ask your operator for a new one";
        return Err(Refusal::not_run(RefusalKind::InvalidKey, message));
    };
    if !key.routes.is_empty() && !key.routes.contains(route) {
        let message = format!("key not valid for route {route}; ask your operator");
        return Err(Refusal::not_run(RefusalKind::Forbidden, message));
    }
    Ok(key.customer.clone())
}
