//! The control thread of an entry host.

use std::net::SocketAddr;
use std::sync::Arc;

use super::events;
use super::peer_messages::EntryRecord;
use super::peer_routes::peer_routes;
use super::shared_deployment_state::SharedDeploymentState;
use super::store_watch::StoreWatch;
use crate::capacity::{ListenerRole, SharedAccount};
use crate::daemon::DrainState;
use crate::events::log_event;
use crate::platform::StoreClient;
use crate::time::clock_now;
use crate::transport::{ClientLimits, HttpServer, PeerClient};

/// Settings of the control thread.
#[derive(Clone, Debug)]
pub(crate) struct SyncSettings {
    /// The record of this entry host.
    pub(crate) own_entry: EntryRecord,
    /// Address of the store.
    pub(crate) store_address: SocketAddr,
    /// Addresses of some entry hosts; may be outdated.
    pub(crate) seeds: Vec<SocketAddr>,
}

/// Starts the control thread, which follows the store and answers other processes.
pub(crate) fn start_sync(
    settings: SyncSettings,
    account: SharedAccount,
    drain: DrainState,
) -> SharedDeploymentState {
    let state = SharedDeploymentState::default();
    let shared = state.clone();
    let thread = std::thread::Builder::new().name("control".to_owned());
    let started = thread.spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        match runtime {
            Ok(runtime) => runtime.block_on(run_sync(settings, shared, account, drain)),
            Err(fault) => log_event!(events::THREAD_FAILED, "{fault}"),
        }
    });
    if let Err(fault) = started {
        log_event!(events::THREAD_FAILED, "{fault}");
    }
    state
}

pub(super) async fn run_sync(
    settings: SyncSettings,
    state: SharedDeploymentState,
    account: SharedAccount,
    drain: DrainState,
) {
    state.note(|state| state.set_own_host(settings.own_entry.host.clone()));
    let client = Arc::new(PeerClient::new(ClientLimits::default()));
    let watch = StoreWatch {
        store: StoreClient::new(settings.store_address, client.clone()),
        client,
        state: state.clone(),
        own_entry: settings.own_entry.clone(),
        seeds: settings.seeds,
        started_at: clock_now(),
    };
    tokio::spawn(watch.clone().follow_operator());
    tokio::spawn(watch.clone().follow_backends());
    tokio::spawn(watch.clone().follow_entries());
    tokio::spawn(watch.clone().record_versions());
    tokio::spawn(watch.clone().expire_backends());
    tokio::spawn(watch.clone().follow_crashes());
    tokio::spawn(watch.clone().record_crashes());
    tokio::spawn(watch.query_neighbours());
    match HttpServer::bind(settings.own_entry.control, peer_routes(&state)).await {
        Ok(server) => {
            let server = server.charged_to(&account, ListenerRole::Peers);
            server.run(drain).await;
        }
        Err(error) => {
            log_event!(events::THREAD_FAILED, "{error}");
            std::future::pending::<()>().await;
        }
    }
}
