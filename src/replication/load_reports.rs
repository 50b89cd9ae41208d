//! Asks the engine for its state some times a second and tells it to the entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::events;
use crate::events::log_event;
use crate::fleet::LoadReport;
use crate::platform::{EngineClient, EngineReport};
use crate::sync::SharedBook;
use crate::transport::encode_message;

/// How often entry hosts hear of a load. A model server begins about ten requests a second, so that
/// an entry host's view is off by two requests at most; a report is some 200 bytes.
const REPORT_PAUSE: Duration = Duration::from_millis(200);
const ENGINE_WITHIN: Duration = Duration::from_millis(600);

/// The engine's last state, and whether it is about to change its weights.
#[derive(Debug, Default)]
pub(super) struct EngineWatch {
    state: watch::Sender<Option<EngineReport>>,
    loads: AtomicBool,
    changed: Notify,
}

impl EngineWatch {
    /// The engine's last state; none while it does not answer.
    pub(super) fn report(&self) -> Option<EngineReport> {
        self.state.borrow().clone()
    }

    /// Follows the state.
    pub(super) fn subscribe(&self) -> watch::Receiver<Option<EngineReport>> {
        self.state.subscribe()
    }

    /// Entry hosts are told at once whether the engine is about to change its weights.
    pub(super) fn announce_load(&self, loads: bool) {
        self.loads.store(loads, Ordering::Relaxed);
        self.changed.notify_one();
    }
}

/// What the reports work with.
pub(super) struct ReportEdges {
    pub(super) engine: EngineClient,
    pub(super) address: SocketAddr,
    pub(super) book: SharedBook,
    pub(super) watch: Arc<EngineWatch>,
}

/// Reports for as long as the process lives.
pub(super) async fn report_load(edges: ReportEdges, socket: UdpSocket) {
    loop {
        let asked = edges.engine.report(ENGINE_WITHIN).await;
        let was_there = edges.watch.report().is_some();
        match asked {
            Ok(report) => {
                if !was_there {
                    log_event!(events::ENGINE_BACK, "holdings={:?}", report.holdings);
                }
                send_report(&edges, &socket, &report).await;
                edges.watch.state.send_replace(Some(report));
            }
            Err(error) => {
                if was_there {
                    log_event!(events::ENGINE_SILENT, "{error}");
                }
                edges.watch.state.send_replace(None);
            }
        }
        // The next report is due after the pause, or as soon as there is something to tell.
        let _ = timeout(REPORT_PAUSE, edges.watch.changed.notified()).await;
    }
}

async fn send_report(edges: &ReportEdges, socket: &UdpSocket, report: &EngineReport) {
    let message = LoadReport {
        address: edges.address,
        born: report.born,
        active: report.active,
        queued: report.queued,
        is_loading: report.is_busy || edges.watch.loads.load(Ordering::Relaxed),
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
