//! Queries the engine's state several times a second and reports it to entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use tokio::net::UdpSocket;

use super::engine_monitor::{EngineMonitor, EngineState};
use super::events;
use crate::events::log_event;
use crate::fleet::LoadReport;
use crate::load_reports::{ReportDatagram, ReportLease, ReportLeases};
use crate::sync::SharedDeploymentState;
use crate::time::clock_now;
use crate::transport::{decode_message, encode_datagram};

/// Interval of load reports. A model server begins about ten requests a second, so that an entry
/// host's view is off by two requests at most. A report has about 200 bytes.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
const ENGINE_TIMEOUT: Duration = Duration::from_millis(600);
const LEASE_BYTES_MAX: usize = 256;

/// What the reporting task works with.
pub(super) struct ReportContext {
    pub(super) address: SocketAddr,
    pub(super) data_centre: ByteString,
    pub(super) deployment_state: SharedDeploymentState,
    pub(super) monitor: Arc<EngineMonitor>,
}

/// Sends reports for the lifetime of the process; leases arrive at `socket`.
pub(super) async fn report_load(context: ReportContext, socket: UdpSocket) {
    let mut leases = ReportLeases::new(context.data_centre.clone());
    let mut last: Option<LoadReport> = None;
    loop {
        let was_responsive = context.monitor.state().is_some();
        match context.monitor.query(ENGINE_TIMEOUT).await {
            Ok(Some(state)) => {
                if !was_responsive {
                    log_event!(
                        events::ENGINE_RESPONSIVE,
                        "holdings={:?}",
                        state.report.holdings
                    );
                }
                let report = context.report(&state);
                let is_change = last
                    .as_ref()
                    .is_none_or(|last| report.changes_weights(last));
                last = Some(report.clone());
                take_leases(&socket, &mut leases);
                let receivers = context.deployment_state.read(|deployment_state| {
                    leases.receivers(deployment_state.entries(), is_change, clock_now())
                });
                send_report(report, &socket, &receivers).await;
            }
            Ok(None) => {}
            Err(error) => {
                if was_responsive {
                    log_event!(events::ENGINE_UNRESPONSIVE, "{error}");
                }
                context.monitor.note_unresponsive();
            }
        }
        // The next report is due after the interval, or as soon as there is a change to report.
        context.monitor.wait(REPORT_INTERVAL).await;
    }
}

impl ReportContext {
    fn report(&self, state: &EngineState) -> LoadReport {
        let report = &state.report;
        LoadReport {
            address: self.address,
            start_time: report.start_time,
            active: report.active,
            queued: report.queued,
            is_loading: self.monitor.is_loading(state),
            pace: report.pace,
            holdings: report.holdings.clone(),
        }
    }
}

/// Takes in the leases received since the last report.
fn take_leases(socket: &UdpSocket, leases: &mut ReportLeases) {
    let mut buffer = [0; LEASE_BYTES_MAX];
    while let Ok((length, peer)) = socket.try_recv_from(&mut buffer) {
        match decode_message::<ReportLease>(&buffer[..length]) {
            Ok(lease) => leases.renew(lease.relay, clock_now()),
            Err(error) => log_event!(events::LEASE_UNREADABLE, "from {peer}: {error}"),
        }
    }
}

async fn send_report(report: LoadReport, socket: &UdpSocket, receivers: &[SocketAddr]) {
    let Ok(datagram) = encode_datagram(&ReportDatagram::Report(report)) else {
        return;
    };
    for receiver in receivers {
        // A lost report is superseded by the next one.
        let _ = socket.send_to(&datagram, receiver).await;
    }
}
