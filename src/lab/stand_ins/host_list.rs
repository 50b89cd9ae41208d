//! Stand-in for the platform's list of hosts, which can show an outdated state.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use volo_http::response::Response;

use super::fault::FaultInjector;
use super::stand_in::{StandInRequest, unknown_path_reply};
use crate::stores::HostEntry;
use crate::time::{ClockTime, clock_now};
use crate::transport::{error_response, json_response};

/// Past states that stay available for lagging reads.
const LISTS_KEPT_MAX: usize = 64;

/// The list of hosts. `POST /lab/hosts` replaces it. With the fault `lag_ms`, readers get the list
/// as it was that long ago.
#[derive(Debug, Default)]
pub(crate) struct HostListStandIn {
    /// The lists with the time from which each was in force, oldest first.
    lists: Mutex<Vec<(ClockTime, Vec<HostEntry>)>>,
}

impl HostListStandIn {
    /// Replaces the list with effect from `now`.
    pub(crate) fn replace(&self, hosts: Vec<HostEntry>, now: ClockTime) {
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        lists.push((now, hosts));
        if lists.len() > LISTS_KEPT_MAX {
            lists.remove(0);
        }
    }

    /// Returns the list that was in force at `then`; empty if there was none.
    pub(crate) fn as_of(&self, then: ClockTime) -> Vec<HostEntry> {
        let lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        let in_force = lists.iter().rev().find(|(since, _)| *since <= then);
        in_force.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    pub(super) fn answer(&self, request: &StandInRequest, faults: &FaultInjector) -> Response {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/hosts/v1") => {
                let lag = Duration::from_millis(faults.settings().lag_ms);
                json_response(StatusCode::OK, &self.as_of(clock_now() - lag))
            }
            (&Method::POST, "/lab/hosts") => match request.json() {
                Ok(hosts) => {
                    self.replace(hosts, clock_now());
                    json_response(StatusCode::OK, &())
                }
                Err(error) => error_response(&error),
            },
            _ => unknown_path_reply(request),
        }
    }
}
