//! What all requests of an entry host share, and the way of one request through it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;
use tokio::sync::mpsc;
use tokio::time::timeout;
use uuid::Uuid;
use volo_http::body::Body;

use super::caller_head::CallerHead;
use crate::admission::find_account;
use crate::control::{ServiceRecord, SharedSnapshot};
use crate::daemon::DrainState;
use crate::delivery::{
    AdmissionPass, CALLER_PARTS, CallerPart, HostCaller, RequestJob, RequestRun, RunCall,
    ServiceDesk,
};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::membership::HostIdentity;
use crate::routing::name_hash;
use crate::time::{ClockTime, clock_now};
use crate::transport::read_body;

/// A caller that takes longer than this to send its body holds memory for nothing.
const BODY_WITHIN: Duration = Duration::from_secs(30);
/// How often the desks take the newest control state. At the large size a host's status changes
/// every few milliseconds; taking each change by itself would cost more than the requests.
const DESK_STEP: Duration = Duration::from_millis(20);
const STEPS_PER_LEVEL: u32 = 25;

/// What all requests share.
pub(super) struct EntryTraffic {
    identity: HostIdentity,
    snapshot: SharedSnapshot,
    hosts: HostCaller,
    drain: DrainState,
    refuses: AtomicBool,
    body_limit: usize,
    /// The desk of each service, sorted by its name.
    desks: RwLock<Vec<(ByteString, Arc<ServiceDesk>)>>,
}

/// What a request's call is, once its service is known.
pub(super) struct CallShape {
    pub(super) call: RunCall,
    pub(super) repeatable: bool,
}

impl EntryTraffic {
    pub(super) fn new(
        identity: HostIdentity,
        snapshot: SharedSnapshot,
        hosts: HostCaller,
        drain: DrainState,
        body_limit: usize,
    ) -> Self {
        Self {
            identity,
            snapshot,
            hosts,
            drain,
            refuses: AtomicBool::new(false),
            body_limit,
            desks: RwLock::new(Vec::new()),
        }
    }

    /// From now on every new request is refused. Called some time after the graceful stop began,
    /// when the balancer has seen that this host is not ready: a request that it sends meanwhile is
    /// served.
    pub(super) fn refuse_new(&self) {
        self.refuses.store(true, Ordering::Relaxed);
    }

    /// Whether there is a service to take requests for.
    pub(super) fn has_services(&self) -> bool {
        !self.snapshot.load().services.is_empty()
    }

    /// Reads a request's body.
    pub(super) async fn read_body(&self, body: Body) -> SwitchResult<Bytes> {
        match timeout(BODY_WITHIN, read_body(body, self.body_limit)).await {
            Ok(read) => read,
            Err(_) => Err(SwitchError::new(
                ErrorKind::BadRequest,
                format!("the body took longer than {BODY_WITHIN:?}"),
            )),
        }
    }

    /// The service `name`, if a document names it and this host takes requests.
    pub(super) fn service(&self, name: &str) -> SwitchResult<Arc<ServiceRecord>> {
        if self.refuses.load(Ordering::Relaxed) {
            let detail = "this entry host is leaving; ask another";
            return Err(SwitchError::new(ErrorKind::EntryLeaving, detail));
        }
        let snapshot = self.snapshot.load();
        let found = snapshot.service(name).cloned();
        found.ok_or_else(|| {
            SwitchError::new(
                ErrorKind::ServiceUnknown,
                format!("no document names \"{name}\""),
            )
        })
    }

    /// Checks the account and starts the request; its parts come from the receiver.
    pub(super) fn start(
        self: &Arc<Self>,
        service: &Arc<ServiceRecord>,
        head: &CallerHead,
        shape: CallShape,
    ) -> SwitchResult<mpsc::Receiver<CallerPart>> {
        let account = find_account(&service.document.accounts, &head.account, &head.secret)?;
        let now = clock_now();
        let deadlines = &service.document.deadlines;
        let longest = deadlines.for_priority(head.priority);
        let deadline_ms = head.deadline_ms.map_or(longest, |asked| asked.min(longest));
        let job = RequestJob {
            request: Uuid::new_v4().to_string().into(),
            account: account.name.clone(),
            priority: head.priority,
            deadline: now + Duration::from_millis(deadline_ms),
            stream_end: now + Duration::from_millis(deadline_ms + deadlines.stream_ms),
            repeatable: shape.repeatable,
            call: shape.call,
            service: service.clone(),
        };
        let order = head.order_key.as_ref().map(|key| order_hash(&job, key));
        let desk = self.desk(&service.document.service, now);
        let pass = self.admit(&desk, &job, order, now)?;
        let (sink, parts) = mpsc::channel(CALLER_PARTS);
        let run = RequestRun::new(job, pass, self.hosts.clone(), sink);
        let under_way = self.drain.enter();
        tokio::spawn(async move {
            run.run().await;
            drop(under_way);
        });
        Ok(parts)
    }

    /// An account that the newest document names may be too new for the desk, which is a moment
    /// behind.
    fn admit(
        &self,
        desk: &Arc<ServiceDesk>,
        job: &RequestJob,
        order: Option<u64>,
        now: ClockTime,
    ) -> SwitchResult<AdmissionPass> {
        let admitted = desk.admit(&job.account, job.priority, order, now);
        match admitted {
            Err(error) if error.kind == ErrorKind::AccountUnknown => {
                desk.refresh(&self.snapshot.load(), &self.identity, now);
                desk.admit(&job.account, job.priority, order, now)
            }
            _ => admitted,
        }
    }

    /// Keeps the desks at the newest control state and the waiting requests going, for as long as
    /// the process lives.
    pub(super) async fn keep_desks(&self) {
        let mut steps = 0_u32;
        loop {
            tokio::time::sleep(DESK_STEP).await;
            steps = steps.wrapping_add(1);
            let snapshot = self.snapshot.load();
            let now = clock_now();
            for desk in self.all_desks() {
                desk.refresh(&snapshot, &self.identity, now);
                if steps.is_multiple_of(STEPS_PER_LEVEL) {
                    desk.record_levels();
                }
            }
        }
    }

    fn all_desks(&self) -> Vec<Arc<ServiceDesk>> {
        let desks = self.desks.read().unwrap_or_else(PoisonError::into_inner);
        desks.iter().map(|(_, desk)| desk.clone()).collect()
    }

    /// The desk of a service. One that has just been made takes the control state at once; later
    /// changes come with the next step of [`Self::keep_desks`].
    fn desk(&self, name: &ByteString, now: ClockTime) -> Arc<ServiceDesk> {
        let (desk, is_new) = self.find_desk(name);
        if is_new {
            desk.refresh(&self.snapshot.load(), &self.identity, now);
        }
        desk
    }

    fn find_desk(&self, name: &ByteString) -> (Arc<ServiceDesk>, bool) {
        {
            let desks = self.desks.read().unwrap_or_else(PoisonError::into_inner);
            if let Ok(place) = desks.binary_search_by(|(known, _)| known.cmp(name)) {
                return (desks[place].1.clone(), false);
            }
        }
        let mut desks = self.desks.write().unwrap_or_else(PoisonError::into_inner);
        match desks.binary_search_by(|(known, _)| known.cmp(name)) {
            Ok(place) => (desks[place].1.clone(), false),
            Err(place) => {
                let desk = Arc::new(ServiceDesk::new(name.clone(), rand::random()));
                desks.insert(place, (name.clone(), desk.clone()));
                (desk, true)
            }
        }
    }
}

/// The hash of the account's order key.
fn order_hash(job: &RequestJob, order_key: &str) -> u64 {
    name_hash(&format!("{}/{order_key}", job.account))
}
