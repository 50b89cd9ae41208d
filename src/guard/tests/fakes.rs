//! Small fakes at the process's edges, and a host process made of them.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;
use futures::FutureExt;
use futures::future::BoxFuture;

use crate::control::{ControlSnapshot, MemberRecord, MemberState, SharedSnapshot};
use crate::daemon::DrainState;
use crate::delivery::{
    AnswerHead, AttemptId, CallKey, RunCall, RunFrame, RunOrder, RunPart, SettleOrder, SettleReply,
};
use crate::documents::{OutageRule, RequestPriority};
use crate::engines::{PlainAnswer, PlainCall, PlainEdge};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::guard::part_sink::AttemptWriter;
use crate::guard::run_edge::settle;
use crate::guard::run_task::run_order;
use crate::guard::{BackendServer, GuardEdges, GuardHandle, GuardLimits, ServingGate, start_guard};
use crate::membership::{HostIdentity, StatusBoard};
use crate::stores::{HostRole, ObjectStore, RowRevision, TableRow, TableStore, WriteResult};
use crate::transport::{FrameReader, frame_channel};

pub(super) const SERVICE: &str = "alert-desk";
const LEASE: Duration = Duration::from_mins(10);
const LONG: u64 = 20_000;

/// A table in memory.
#[derive(Default)]
pub(super) struct MemoryTable {
    rows: Mutex<Vec<TableRow>>,
    revisions: Mutex<u64>,
    /// Whether it answers nothing.
    pub(super) is_away: AtomicBool,
    /// Whether writes take effect but their answers are lost.
    pub(super) loses_answers: AtomicBool,
}

impl MemoryTable {
    /// The rows whose key begins with `prefix`.
    pub(super) fn rows_under(&self, prefix: &str) -> Vec<TableRow> {
        let rows = self.rows.lock().expect("no test panics under it");
        let is_under = |row: &&TableRow| row.key.starts_with(prefix);
        rows.iter().filter(is_under).cloned().collect()
    }

    fn check(&self) -> SwitchResult<()> {
        if self.is_away.load(Ordering::Relaxed) {
            return Err(away());
        }
        Ok(())
    }

    fn change(
        &self,
        key: &str,
        expected: RowRevision,
        value: Option<Bytes>,
    ) -> SwitchResult<WriteResult> {
        self.check()?;
        let mut rows = self.rows.lock().expect("no test panics under it");
        let found = rows.binary_search_by(|row| row.key.as_str().cmp(key));
        let standing = found
            .ok()
            .map_or(RowRevision::ABSENT, |at| rows[at].revision);
        if standing != expected {
            return Ok(WriteResult::Conflict(found.ok().map(|at| rows[at].clone())));
        }
        let mut revisions = self.revisions.lock().expect("no test panics under it");
        *revisions += 1;
        let revision = RowRevision(*revisions);
        let (Ok(at) | Err(at)) = found;
        if found.is_ok() {
            rows.remove(at);
        }
        if let Some(value) = value {
            let key = key.to_owned();
            rows.insert(
                at,
                TableRow {
                    key,
                    revision,
                    value,
                },
            );
        }
        if self.loses_answers.load(Ordering::Relaxed) {
            return Err(away());
        }
        Ok(WriteResult::Written(revision))
    }
}

fn away() -> SwitchError {
    SwitchError::new(ErrorKind::TableUnavailable, "away")
}

impl TableStore for MemoryTable {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, SwitchResult<Option<TableRow>>> {
        async move {
            self.check()?;
            Ok(self.rows_under(key).into_iter().find(|row| row.key == key))
        }
        .boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, SwitchResult<Vec<TableRow>>> {
        async move {
            self.check()?;
            Ok(self.rows_under(prefix))
        }
        .boxed()
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        expected: RowRevision,
        value: Bytes,
    ) -> BoxFuture<'a, SwitchResult<WriteResult>> {
        async move { self.change(key, expected, Some(value)) }.boxed()
    }

    fn remove<'a>(
        &'a self,
        key: &'a str,
        expected: RowRevision,
    ) -> BoxFuture<'a, SwitchResult<WriteResult>> {
        async move { self.change(key, expected, None) }.boxed()
    }
}

/// An object store in memory.
#[derive(Default)]
struct MemoryObjects {
    objects: Mutex<Vec<(String, Bytes)>>,
}

impl ObjectStore for MemoryObjects {
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, SwitchResult<Option<Bytes>>> {
        async move {
            let objects = self.objects.lock().expect("no test panics under it");
            let found = objects.iter().find(|(one, _)| one == name);
            Ok(found.map(|(_, object)| object.clone()))
        }
        .boxed()
    }

    fn put<'a>(&'a self, name: &'a str, object: Bytes) -> BoxFuture<'a, SwitchResult<()>> {
        async move {
            let mut objects = self.objects.lock().expect("no test panics under it");
            objects.push((name.to_owned(), object));
            Ok(())
        }
        .boxed()
    }
}

/// A plain service that counts its calls and answers with the count.
#[derive(Default)]
pub(super) struct CountingPlain {
    pub(super) calls: AtomicU32,
    /// Bytes of padding in each answer.
    pub(super) padding: AtomicU32,
}

impl PlainEdge for CountingPlain {
    fn forward(&self, _call: PlainCall) -> BoxFuture<'_, SwitchResult<PlainAnswer>> {
        async move {
            let count = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
            let padding = self.padding.load(Ordering::Relaxed) as usize;
            let text = format!("run {count}{}", ".".repeat(padding));
            let body = futures::stream::iter([Ok(Bytes::from(text))]);
            Ok(PlainAnswer {
                head: AnswerHead {
                    status: 200,
                    headers: Vec::new(),
                },
                body: Box::pin(body),
            })
        }
        .boxed()
    }
}

/// One host process's guard.
pub(super) struct TestHost {
    pub(super) handle: GuardHandle,
    pub(super) drain: DrainState,
    pub(super) board: StatusBoard,
    incarnation: u64,
}

impl TestHost {
    /// The guard of host `name` before `backend`, which knows of itself only.
    pub(super) fn start(name: &str, table: &Arc<MemoryTable>, backend: BackendServer) -> Self {
        let gate = ServingGate::default();
        Self::start_with(name, table, backend, gate)
    }

    /// As [`TestHost::start`], with a gate that the test opens.
    pub(super) fn start_with(
        name: &str,
        table: &Arc<MemoryTable>,
        backend: BackendServer,
        gate: ServingGate,
    ) -> Self {
        let incarnation = 7;
        let host: ByteString = name.into();
        let identity = HostIdentity {
            host: host.clone(),
            data_centre: "lima-hall-a".into(),
            region: "lima".into(),
            role: HostRole::Backend,
            service: Some(SERVICE.into()),
            peer_address: ([127, 0, 0, 1], 1).into(),
            incarnation,
        };
        let snapshot = SharedSnapshot::default();
        snapshot.replace(ControlSnapshot {
            members: vec![Arc::new(member(&identity))],
            ..ControlSnapshot::default()
        });
        let drain = DrainState::new(Duration::ZERO, Duration::from_secs(10));
        let board = StatusBoard::new(host, incarnation);
        let edges = GuardEdges {
            identity,
            backend,
            gate,
            board: board.clone(),
            drain: drain.clone(),
            table: Arc::clone(table) as Arc<dyn TableStore>,
            objects: Arc::new(MemoryObjects::default()),
            snapshot,
        };
        let limits = GuardLimits {
            running_max: 2,
            waiting_max: 4,
            engine_check: Duration::from_millis(10),
            slot_lease: LEASE,
        };
        Self {
            handle: start_guard(edges, limits),
            drain,
            board,
            incarnation,
        }
    }

    /// Waits until it holds every slot.
    pub(super) async fn hold_slots(&self) {
        let mut status = self.board.watch();
        let holds_all = status.wait_for(|status| status.slots.len() == 64).await;
        drop(holds_all.expect("the board lives on"));
    }

    /// Waits until it holds none.
    pub(super) async fn hold_nothing(&self) {
        let mut status = self.board.watch();
        let holds_none = status.wait_for(|status| status.slots.is_empty()).await;
        drop(holds_none.expect("the board lives on"));
    }

    /// Gives an order and returns where its frames come.
    pub(super) fn give(&self, order: RunOrder) -> FrameReader {
        let (writer, body) = frame_channel(64);
        let attempt = order.attempt;
        let shared = Arc::clone(&self.handle.shared);
        let writer = AttemptWriter { attempt, writer };
        tokio::spawn(run_order(shared, order, writer, self.drain.enter()));
        FrameReader::new(body)
    }

    /// Gives an order and returns its whole answer.
    pub(super) async fn ask(&self, order: RunOrder) -> Vec<RunPart> {
        let mut reader = self.give(order);
        let mut parts = Vec::new();
        while let Some(frame) = reader.next::<RunFrame>().await.expect("it reads") {
            if frame.part != RunPart::Alive {
                parts.push(frame.part);
            }
        }
        parts
    }

    /// Asks what became of `attempt`.
    pub(super) fn settle(&self, attempt: AttemptId) -> SettleReply {
        let incarnation = self.incarnation;
        let order = SettleOrder {
            attempt,
            incarnation,
        };
        settle(&self.handle.shared, &order)
    }
}

fn member(identity: &HostIdentity) -> MemberRecord {
    MemberRecord {
        host: identity.host.clone(),
        data_centre: identity.data_centre.clone(),
        region: identity.region.clone(),
        role: identity.role,
        service: identity.service.clone(),
        peer_address: identity.peer_address,
        state: MemberState::Live,
        status: None,
    }
}

/// An unrepeatable call to the plain service, keyed if `key` is given.
pub(super) fn wake_up(key: Option<&str>, in_outage: OutageRule) -> RunOrder {
    let call_key = key.map(|key| CallKey {
        key: key.into(),
        order_key: key.into(),
        made_ms: None,
        fingerprint: [1; 16],
        in_outage,
    });
    RunOrder {
        attempt: AttemptId::fresh(),
        request: "r1".into(),
        incarnation: 7,
        service: SERVICE.into(),
        account: "lodge-a".into(),
        priority: RequestPriority::Urgent,
        deadline_ms: LONG,
        repeatable: false,
        call_key,
        call: RunCall::Forward {
            method: "POST".into(),
            path: "/wake".into(),
            headers: Vec::new(),
            body: Bytes::from_static(b"{}"),
        },
    }
}

/// The body's text in an answer.
pub(super) fn body_of(parts: &[RunPart]) -> String {
    let mut text = Vec::new();
    for part in parts {
        if let RunPart::Body(bytes) = part {
            text.extend_from_slice(bytes);
        }
    }
    String::from_utf8(text).expect("the fake writes text")
}
