//! The platform's list of hosts, which may lag.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use volo_http::response::Response;

use super::fault::FaultBoard;
use super::stand_in::{LabCall, unknown};
use crate::stores::HostEntry;
use crate::time::{ClockTime, clock_now};
use crate::transport::{error_reply, json_reply};

const LISTS_KEPT: usize = 64;

/// The list of hosts. `POST /lab/hosts` replaces it; `lag_ms` among the faults makes readers see it
/// as it was that long ago.
#[derive(Debug, Default)]
pub(crate) struct HostListStandIn {
    /// The lists by the time from which they held.
    lists: Mutex<Vec<(ClockTime, Vec<HostEntry>)>>,
}

impl HostListStandIn {
    /// Replaces the list from `now` on.
    pub(crate) fn replace(&self, hosts: Vec<HostEntry>, now: ClockTime) {
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        lists.push((now, hosts));
        if lists.len() > LISTS_KEPT {
            lists.remove(0);
        }
    }

    /// The list as it stood at `then`.
    pub(crate) fn as_of(&self, then: ClockTime) -> Vec<HostEntry> {
        let lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        let held = lists.iter().rev().find(|(since, _)| *since <= then);
        held.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    pub(super) fn answer(&self, call: &LabCall, faults: &FaultBoard) -> Response {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/hosts/v1") => {
                let lag = Duration::from_millis(faults.settings().lag_ms);
                json_reply(StatusCode::OK, &self.as_of(clock_now() - lag))
            }
            (&Method::POST, "/lab/hosts") => match call.json() {
                Ok(hosts) => {
                    self.replace(hosts, clock_now());
                    json_reply(StatusCode::OK, &())
                }
                Err(error) => error_reply(&error),
            },
            _ => unknown(call),
        }
    }
}
