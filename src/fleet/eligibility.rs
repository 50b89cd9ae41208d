//! Whether a backend server may get a request now, and if not, why. Every send is decided here,
//! whether it is the first one, a retry or a resumed stream.

use macro_rules_attribute::apply;

use super::backend_record::BackendRecord;
use super::backend_registry::BackendKey;
use super::pick::{PickContext, PickRequirements};
use super::request_limit::SendPermission;
use crate::derives::key;
use crate::overload::EngineCandidate;
use crate::placement::PlacementDenial;
use crate::time::ClockTime;

/// Why a backend server may not get a request now.
#[apply(key!)]
pub(super) enum Ineligibility {
    /// It belongs to another service.
    OtherService,
    /// It is about to stop.
    Leaving,
    /// It does not hold weights that may answer the request.
    Weights,
    /// Its data centre may not serve the request.
    Placement(PlacementDenial),
    /// The request was sent there before.
    Tried,
    /// It asked for a pause until then.
    RequestedPause(ClockTime),
    /// It is loading weights, or recent calls to it failed.
    Unavailable,
    /// It has as many requests as it may get.
    Full,
    /// The rate that it accepts, or accepts while it is cold, is used up.
    RateLimited,
}

/// Returns the state in which the backend server of `record` would get a request at `now`.
///
/// # Errors
///
/// The first reason why it may not get the request.
pub(super) fn check_eligibility(
    (key, record): (BackendKey, &BackendRecord),
    requirements: &PickRequirements<'_>,
    context: &PickContext<'_>,
    now: ClockTime,
) -> Result<EngineCandidate, Ineligibility> {
    if *record.facts.service != *requirements.service {
        return Err(Ineligibility::OtherService);
    }
    if !record.is_serving() {
        return Err(Ineligibility::Leaving);
    }
    if !requirements.version.is_satisfied_by(record) {
        return Err(Ineligibility::Weights);
    }
    requirements
        .placement
        .check(&record.facts.data_centre)
        .map_err(Ineligibility::Placement)?;
    if requirements.tried.contains(&key) {
        return Err(Ineligibility::Tried);
    }
    if let Some(until) = record.requested_pause_end(now) {
        return Err(Ineligibility::RequestedPause(until));
    }
    if !record.accepts_requests(now) {
        return Err(Ineligibility::Unavailable);
    }
    let engine = record.engine_state(context, now);
    if engine.load >= requirements.limit_at(record, &engine, now) {
        return Err(Ineligibility::Full);
    }
    if record.send_permission(requirements.cold_limit, context, now) == SendPermission::Denied {
        return Err(Ineligibility::RateLimited);
    }
    Ok(engine)
}
