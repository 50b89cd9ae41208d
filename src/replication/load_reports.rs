//! Asks the engine for its state some times a second and reports it to entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use tokio::net::UdpSocket;

use super::engine_watch::{EngineState, EngineWatch};
use super::events;
use crate::events::log_event;
use crate::fleet::LoadReport;
use crate::load_reports::{ReportDatagram, ReportLease, ReportLeases};
use crate::sync::SharedControlState;
use crate::time::clock_now;
use crate::transport::{decode_message, encode_datagram};

/// How often entry hosts hear of a load. A model server begins about ten requests a second, so that
/// an entry host's view is off by two requests at most; a report is some 200 bytes.
const REPORT_PAUSE: Duration = Duration::from_millis(200);
const ENGINE_WITHIN: Duration = Duration::from_millis(600);
const LEASE_BYTES_MAX: usize = 256;

/// What the reports work with.
pub(super) struct ReportEdges {
    pub(super) address: SocketAddr,
    pub(super) data_centre: ByteString,
    pub(super) book: SharedControlState,
    pub(super) watch: Arc<EngineWatch>,
}

/// Reports for as long as the process lives; `socket` takes leases.
pub(super) async fn report_load(edges: ReportEdges, socket: UdpSocket) {
    let mut leases = ReportLeases::new(edges.data_centre.clone());
    let mut last: Option<LoadReport> = None;
    loop {
        let was_there = edges.watch.state().is_some();
        match edges.watch.ask(ENGINE_WITHIN).await {
            Ok(Some(state)) => {
                if !was_there {
                    log_event!(events::ENGINE_BACK, "holdings={:?}", state.report.holdings);
                }
                let report = edges.report(&state);
                let is_change = last
                    .as_ref()
                    .is_none_or(|last| report.changes_weights(last));
                last = Some(report.clone());
                take_leases(&socket, &mut leases);
                let receivers = edges
                    .book
                    .read(|book| leases.receivers(book.entries(), is_change, clock_now()));
                send_report(report, &socket, &receivers).await;
            }
            Ok(None) => {}
            Err(error) => {
                if was_there {
                    log_event!(events::ENGINE_SILENT, "{error}");
                }
                edges.watch.note_silent();
            }
        }
        // The next report is due after the pause, or as soon as there is something to tell.
        edges.watch.rest(REPORT_PAUSE).await;
    }
}

impl ReportEdges {
    fn report(&self, state: &EngineState) -> LoadReport {
        let report = &state.report;
        LoadReport {
            address: self.address,
            born: report.born,
            active: report.active,
            queued: report.queued,
            is_loading: self.watch.is_loading(state),
            pace: report.pace,
            holdings: report.holdings.clone(),
        }
    }
}

/// Takes the leases that have come since the last report.
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
        // A report that is lost is followed by the next.
        let _ = socket.send_to(&datagram, receiver).await;
    }
}
