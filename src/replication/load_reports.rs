//! Asks the engine for its state some times a second and tells it to the entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::engine_watch::{EngineState, EngineWatch};
use super::events;
use crate::events::log_event;
use crate::fleet::LoadReport;
use crate::sync::SharedBook;
use crate::transport::encode_message;

/// How often entry hosts hear of a load. A model server begins about ten requests a second, so that
/// an entry host's view is off by two requests at most; a report is some 200 bytes.
const REPORT_PAUSE: Duration = Duration::from_millis(200);
const ENGINE_WITHIN: Duration = Duration::from_millis(600);

/// What the reports work with.
pub(super) struct ReportEdges {
    pub(super) address: SocketAddr,
    pub(super) book: SharedBook,
    pub(super) watch: Arc<EngineWatch>,
}

/// Reports for as long as the process lives.
pub(super) async fn report_load(edges: ReportEdges, socket: UdpSocket) {
    loop {
        let was_there = edges.watch.state().is_some();
        match edges.watch.ask(ENGINE_WITHIN).await {
            Ok(Some(state)) => {
                if !was_there {
                    log_event!(events::ENGINE_BACK, "holdings={:?}", state.report.holdings);
                }
                send_report(&edges, &socket, &state).await;
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

async fn send_report(edges: &ReportEdges, socket: &UdpSocket, state: &EngineState) {
    let report = &state.report;
    let message = LoadReport {
        address: edges.address,
        born: report.born,
        active: report.active,
        queued: report.queued,
        is_loading: edges.watch.is_loading(state),
        pace: report.pace,
        holdings: report.holdings.clone(),
    };
    let Ok(datagram) = encode_message(&message) else {
        return;
    };
    let entries: Vec<SocketAddr> = edges.book.read(|book| {
        let entries = book.entries().iter();
        entries.map(|entry| entry.reports).collect()
    });
    for entry in entries {
        // A report that is lost is followed by the next.
        let _ = socket.send_to(&datagram, entry).await;
    }
}
