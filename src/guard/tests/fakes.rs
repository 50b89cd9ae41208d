//! Small fakes at the process's edges, and a host process made of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;
use futures::FutureExt;
use futures::future::BoxFuture;

use crate::daemon::DrainState;
use crate::delivery::{
    AnswerHead, AttemptId, RunCall, RunFrame, RunOrder, RunPart, SettleOrder, SettleReply,
};
use crate::documents::RequestPriority;
use crate::engines::{PlainAnswer, PlainCall, PlainEdge};
use crate::errors::SwitchResult;
use crate::guard::part_sink::AttemptWriter;
use crate::guard::run_edge::{GuardHandle, settle};
use crate::guard::run_task::run_order;
use crate::guard::{BackendServer, GuardEdges, GuardLimits, ServingGate, start_guard};
use crate::membership::{HostIdentity, StatusPublisher};
use crate::stores::HostRole;
use crate::transport::{FrameReader, frame_channel};

pub(super) const SERVICE: &str = "alert-desk";
const LONG: u64 = 20_000;

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
    incarnation: u64,
}

impl TestHost {
    /// The guard of host `name` before `backend`, which knows of itself only.
    pub(super) fn start(name: &str, backend: BackendServer) -> Self {
        let gate = ServingGate::default();
        Self::start_with(name, backend, gate)
    }

    /// As [`TestHost::start`], with a gate that the test opens.
    pub(super) fn start_with(name: &str, backend: BackendServer, gate: ServingGate) -> Self {
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
        let drain = DrainState::new(Duration::ZERO, Duration::from_secs(10));
        let board = StatusPublisher::new(host, incarnation);
        let edges = GuardEdges {
            identity,
            backend,
            gate,
            board,
            drain: drain.clone(),
        };
        let limits = GuardLimits {
            running_max: 2,
            waiting_max: 4,
            engine_check: Duration::from_millis(10),
        };
        Self {
            handle: start_guard(edges, limits),
            drain,
            incarnation,
        }
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

/// An unrepeatable call to the plain service.
pub(super) fn wake_up() -> RunOrder {
    RunOrder {
        attempt: AttemptId::fresh(),
        request: "r1".into(),
        incarnation: 7,
        service: SERVICE.into(),
        account: "lodge-a".into(),
        priority: RequestPriority::Urgent,
        deadline_ms: LONG,
        repeatable: false,
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
