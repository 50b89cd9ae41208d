//! How long it takes until every entry host knows that a backend server is leaving.

use std::time::Duration;

use tokio::time::sleep;

use super::run::DocumentsRun;
use crate::errors::SwitchResult;
use crate::lab::launch::OPERATOR_KEY;
use crate::operator::admin_client::{AdminClient, AdminFailure, AdminRequest};
use crate::operator::messages::HostsReply;
use crate::time::clock_now;

const LEAVERS: usize = 3;
const LOOK_PAUSE: Duration = Duration::from_millis(10);
const GIVE_UP_AFTER: Duration = Duration::from_secs(10);

impl DocumentsRun {
    /// Asks some backend servers' processes for a graceful stop, one after another. The longest
    /// time, in seconds, until every entry host counts one as leaving.
    pub(super) async fn measure_leaving(&self) -> SwitchResult<f64> {
        let mut longest: f64 = 0.0;
        for node in self.system.backends.iter().take(LEAVERS) {
            let begun = clock_now();
            node.process.request_stop();
            while !self.all_know(&node.host).await? {
                if clock_now().since(begun) > GIVE_UP_AFTER {
                    eprintln!("not everyone knows that {} is leaving", node.host);
                    break;
                }
                sleep(LOOK_PAUSE).await;
            }
            longest = longest.max(clock_now().since(begun).as_secs_f64());
        }
        Ok(longest)
    }

    async fn all_know(&self, leaver: &str) -> SwitchResult<bool> {
        let client = AdminClient::new(Vec::new(), OPERATOR_KEY.to_owned());
        for node in &self.system.entries {
            let call = AdminRequest::get("/admin/v1/hosts");
            let reply: Result<HostsReply, AdminFailure> =
                client.send_to(node.admin()?, &call).await;
            let hosts = reply.map(|reply| reply.hosts).unwrap_or_default();
            let line = hosts.iter().find(|line| line.host == leaver);
            if line.is_none_or(|line| line.state != "leaving" && line.state != "gone") {
                return Ok(false);
            }
        }
        Ok(true)
    }
}
