//! Measures how long it takes until every entry host knows that a backend server is leaving.

use std::time::Duration;

use tokio::time::sleep;

use super::documents_run::DocumentsRun;
use crate::errors::SwitchResult;
use crate::lab::launch::OPERATOR_KEY;
use crate::operator::admin_client::{AdminClient, AdminFailure, AdminRequest};
use crate::operator::messages::HostsReply;
use crate::time::clock_now;

/// Number of backend servers stopped for the measurement.
const STOPPED_BACKENDS: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// After this long, the measurement goes on with the next backend server.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(10);

impl DocumentsRun {
    /// Requests a graceful stop of some backend servers' host processes, one after another. Returns
    /// the longest time, in seconds, until every entry host lists one as leaving or gone.
    ///
    /// # Errors
    ///
    /// Fails if an entry host has no known admin address.
    pub(super) async fn measure_leaving(&self) -> SwitchResult<f64> {
        let mut longest: f64 = 0.0;
        for node in self.system.backends.iter().take(STOPPED_BACKENDS) {
            let started_at = clock_now();
            node.process.request_stop();
            while !self.is_known_everywhere(&node.host).await? {
                if clock_now().since(started_at) > DETECTION_TIMEOUT {
                    eprintln!(
                        "{} not listed as leaving by every entry host in time",
                        node.host
                    );
                    break;
                }
                sleep(POLL_INTERVAL).await;
            }
            longest = longest.max(clock_now().since(started_at).as_secs_f64());
        }
        Ok(longest)
    }

    /// Returns whether every entry host lists `leaving_host` as leaving or gone.
    async fn is_known_everywhere(&self, leaving_host: &str) -> SwitchResult<bool> {
        let client = AdminClient::new(Vec::new(), OPERATOR_KEY.to_owned());
        for node in &self.system.entries {
            let request = AdminRequest::get("/admin/v1/hosts");
            let reply: Result<HostsReply, AdminFailure> =
                client.send_to(node.admin()?, &request).await;
            let hosts = reply.map(|reply| reply.hosts).unwrap_or_default();
            let summary = hosts.iter().find(|summary| summary.host == leaving_host);
            if summary.is_none_or(|summary| summary.state != "leaving" && summary.state != "gone") {
                return Ok(false);
            }
        }
        Ok(true)
    }
}
