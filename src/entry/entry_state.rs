//! The state that all requests of an entry host share, and the steps that each request takes:
//! reading the body, finding the service, checking the account, and starting the run.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;
use http::Extensions;
use tokio::sync::mpsc;
use tokio::time::timeout;
use uuid::Uuid;
use volo_http::body::Body;

use super::caller_headers::CallerHeaders;
use crate::admission::find_account;
use crate::control::{ServiceRecord, SharedSnapshot};
use crate::daemon::DrainState;
use crate::delivery::{
    AdmissionPass, CALLER_BUFFER_PARTS, CallerPart, HostClient, RequestJob, RequestRunner, RunCall,
    ServiceDispatcher,
};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::membership::HostIdentity;
use crate::routing::name_hash;
use crate::time::{ClockTime, clock_now};
use crate::transport::read_request_body;

/// Time limit for reading a request body; a slower caller would only hold memory.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the dispatchers take over the latest control snapshot. In the largest
/// deployments a host's status changes every few milliseconds; refreshing on each change would cost
/// more than serving the requests.
const REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// Queue lengths are written to the metrics once in this many refreshes.
const REFRESHES_PER_METRICS_UPDATE: u32 = 25;

/// State shared by all requests of an entry host.
pub(super) struct EntryState {
    identity: HostIdentity,
    snapshot: SharedSnapshot,
    host_caller: HostClient,
    drain: DrainState,
    refuses_new: AtomicBool,
    /// Largest accepted request body, in bytes.
    body_limit: usize,
    /// The dispatcher of each service, sorted by service name.
    dispatchers: RwLock<Vec<(ByteString, Arc<ServiceDispatcher>)>>,
}

/// The call that a request makes to its service.
pub(super) struct ServiceCall {
    pub(super) run_call: RunCall,
    /// Whether the call may run more than once.
    pub(super) repeatable: bool,
}

impl EntryState {
    pub(super) fn new(
        identity: HostIdentity,
        snapshot: SharedSnapshot,
        host_caller: HostClient,
        drain: DrainState,
        body_limit: usize,
    ) -> Self {
        Self {
            identity,
            snapshot,
            host_caller,
            drain,
            refuses_new: AtomicBool::new(false),
            body_limit,
            dispatchers: RwLock::new(Vec::new()),
        }
    }

    /// Refuses every new request from now on.
    ///
    /// To be called some time after the start of a graceful stop, once the load balancer has seen
    /// that this host is not ready; requests that it sends before that are still served.
    pub(super) fn refuse_new(&self) {
        self.refuses_new.store(true, Ordering::Relaxed);
    }

    /// Returns whether at least one service is configured.
    pub(super) fn has_services(&self) -> bool {
        !self.snapshot.load().services.is_empty()
    }

    /// Reads a request's body.
    ///
    /// # Errors
    ///
    /// `BadRequest` if the body takes longer than [`BODY_TIMEOUT`], and the errors of
    /// [`crate::transport::read_request_body`].
    pub(super) async fn read_body(
        &self,
        extensions: &Extensions,
        body: Body,
    ) -> SwitchResult<Bytes> {
        let reading = read_request_body(extensions, body, self.body_limit, None);
        match timeout(BODY_TIMEOUT, reading).await {
            Ok(read) => read,
            Err(_) => Err(SwitchError::new(
                ErrorKind::BadRequest,
                format!("the body did not arrive within {BODY_TIMEOUT:?}"),
            )),
        }
    }

    /// Returns the configuration of service `name`.
    ///
    /// # Errors
    ///
    /// `EntryLeaving` if this host refuses new requests, `ServiceUnknown` if no document defines
    /// the service.
    pub(super) fn service(&self, name: &str) -> SwitchResult<Arc<ServiceRecord>> {
        if self.refuses_new.load(Ordering::Relaxed) {
            let detail = "this entry host is shutting down; retry at another entry host";
            return Err(SwitchError::new(ErrorKind::EntryLeaving, detail));
        }
        let snapshot = self.snapshot.load();
        let found = snapshot.service(name).cloned();
        found.ok_or_else(|| {
            SwitchError::new(
                ErrorKind::ServiceUnknown,
                format!("no document defines the service \"{name}\""),
            )
        })
    }

    /// Checks the account, admits the request and starts it in a task of its own. The parts of the
    /// answer arrive on the returned receiver.
    ///
    /// # Errors
    ///
    /// The errors of the account check and of admission; the request has not run then.
    pub(super) fn start(
        self: &Arc<Self>,
        service: &Arc<ServiceRecord>,
        headers: &CallerHeaders,
        call: ServiceCall,
    ) -> SwitchResult<mpsc::Receiver<CallerPart>> {
        let account = find_account(
            &service.document.accounts,
            &headers.account,
            &headers.secret,
        )?;
        let now = clock_now();
        let deadlines = &service.document.deadlines;
        let longest = deadlines.for_priority(headers.priority);
        let deadline_ms = headers
            .deadline_ms
            .map_or(longest, |requested| requested.min(longest));
        let job = RequestJob {
            request: Uuid::new_v4().to_string().into(),
            account: account.name.clone(),
            priority: headers.priority,
            deadline: now + Duration::from_millis(deadline_ms),
            stream_end: now + Duration::from_millis(deadline_ms + deadlines.stream_ms),
            repeatable: call.repeatable,
            call: call.run_call,
            service: service.clone(),
        };
        let order = headers
            .order_key
            .as_ref()
            .map(|key| order_key_hash(&job, key));
        let dispatcher = self.dispatcher(&service.document.service, now);
        let pass = self.admit(&dispatcher, &job, order, now)?;
        let (sink, parts) = mpsc::channel(CALLER_BUFFER_PARTS);
        let run = RequestRunner::new(job, pass, self.host_caller.clone(), sink);
        let in_flight = self.drain.track_request();
        tokio::spawn(async move {
            run.run().await;
            drop(in_flight);
        });
        Ok(parts)
    }

    /// Admits `job` at its service's dispatcher.
    ///
    /// The dispatcher's snapshot may be one refresh interval old, so that it does not yet know an
    /// account that the latest document has added. If it reports the account as unknown, it is
    /// refreshed and tried once more.
    fn admit(
        &self,
        dispatcher: &Arc<ServiceDispatcher>,
        job: &RequestJob,
        order: Option<u64>,
        now: ClockTime,
    ) -> SwitchResult<AdmissionPass> {
        let admitted = dispatcher.admit(&job.account, job.priority, order, now);
        match admitted {
            Err(error) if error.kind == ErrorKind::AccountUnknown => {
                dispatcher.refresh(&self.snapshot.load(), &self.identity, now);
                dispatcher.admit(&job.account, job.priority, order, now)
            }
            _ => admitted,
        }
    }

    /// Refreshes all dispatchers from the latest control snapshot every [`REFRESH_INTERVAL`], which
    /// also dispatches waiting requests. Runs until the process ends.
    pub(super) async fn refresh_dispatchers(&self) {
        let mut refreshes = 0_u32;
        loop {
            tokio::time::sleep(REFRESH_INTERVAL).await;
            refreshes = refreshes.wrapping_add(1);
            let snapshot = self.snapshot.load();
            let now = clock_now();
            for dispatcher in self.all_dispatchers() {
                dispatcher.refresh(&snapshot, &self.identity, now);
                if refreshes.is_multiple_of(REFRESHES_PER_METRICS_UPDATE) {
                    dispatcher.record_levels();
                }
            }
        }
    }

    fn all_dispatchers(&self) -> Vec<Arc<ServiceDispatcher>> {
        let dispatchers = self
            .dispatchers
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        dispatchers
            .iter()
            .map(|(_, dispatcher)| dispatcher.clone())
            .collect()
    }

    /// Returns the dispatcher of a service, creating it if necessary. A new one is refreshed at
    /// once; later changes reach it through [`Self::refresh_dispatchers`].
    fn dispatcher(&self, service: &ByteString, now: ClockTime) -> Arc<ServiceDispatcher> {
        let (dispatcher, is_new) = self.find_or_create(service);
        if is_new {
            dispatcher.refresh(&self.snapshot.load(), &self.identity, now);
        }
        dispatcher
    }

    /// Returns the dispatcher of a service, and whether this call has created it.
    fn find_or_create(&self, service: &ByteString) -> (Arc<ServiceDispatcher>, bool) {
        {
            let dispatchers = self
                .dispatchers
                .read()
                .unwrap_or_else(PoisonError::into_inner);
            if let Ok(index) = dispatchers.binary_search_by(|(name, _)| name.cmp(service)) {
                return (dispatchers[index].1.clone(), false);
            }
        }
        let mut dispatchers = self
            .dispatchers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        match dispatchers.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => (dispatchers[index].1.clone(), false),
            Err(index) => {
                let dispatcher = Arc::new(ServiceDispatcher::new(service.clone(), rand::random()));
                dispatchers.insert(index, (service.clone(), dispatcher.clone()));
                (dispatcher, true)
            }
        }
    }
}

/// Returns the hash of an order key, which is scoped to the account.
fn order_key_hash(job: &RequestJob, order_key: &str) -> u64 {
    name_hash(&format!("{}/{order_key}", job.account))
}
