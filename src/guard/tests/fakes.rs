//! Fakes for the interfaces of the host process, and a guard that uses them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;
use futures::FutureExt;
use futures::future::BoxFuture;

use crate::daemon::DrainState;
use crate::delivery::{
    AnswerHead, AttemptId, OutcomeQuery, OutcomeReply, RunCall, RunFrame, RunOrder, RunPart,
};
use crate::documents::RequestPriority;
use crate::engines::{PlainAdapter, PlainAnswer, PlainCall};
use crate::errors::SwitchResult;
use crate::guard::part_sink::AttemptWriter;
use crate::guard::run_endpoints::{GuardHandle, resolve};
use crate::guard::run_task::run_order;
use crate::guard::{GuardContext, GuardLimits, LocalBackend, ServingGate, start_guard};
use crate::membership::{HostIdentity, StatusPublisher};
use crate::stores::HostRole;
use crate::transport::{FrameReader, frame_channel};

pub(super) const SERVICE: &str = "alert-desk";
const LONG: u64 = 20_000;

/// A plain service that counts its calls and responds with the count.
#[derive(Default)]
pub(super) struct CountingPlain {
    pub(super) calls: AtomicU32,
    /// Number of padding bytes in each answer.
    pub(super) padding: AtomicU32,
}

impl PlainAdapter for CountingPlain {
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

/// The guard of one host process.
pub(super) struct TestHost {
    pub(super) handle: GuardHandle,
    pub(super) drain: DrainState,
    incarnation: u64,
}

impl TestHost {
    /// Starts the guard of host `name` for `backend`. No other process exists.
    pub(super) fn start(name: &str, backend: LocalBackend) -> Self {
        let gate = ServingGate::default();
        Self::start_with(name, backend, gate)
    }

    /// Like [`TestHost::start`], with a gate that the test opens.
    pub(super) fn start_with(name: &str, backend: LocalBackend, gate: ServingGate) -> Self {
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
        let publisher = StatusPublisher::new(host, incarnation);
        let context = GuardContext {
            identity,
            backend,
            gate,
            publisher,
            drain: drain.clone(),
        };
        let limits = GuardLimits {
            running_max: 2,
            waiting_max: 4,
            engine_check: Duration::from_millis(10),
        };
        Self {
            handle: start_guard(context, limits),
            drain,
            incarnation,
        }
    }

    /// Submits an order and returns a reader for its frames.
    pub(super) fn submit(&self, order: RunOrder) -> FrameReader {
        let (writer, body) = frame_channel(64);
        let attempt = order.attempt;
        let shared = Arc::clone(&self.handle.shared);
        let writer = AttemptWriter { attempt, writer };
        tokio::spawn(run_order(shared, order, writer, self.drain.track_request()));
        FrameReader::new(body)
    }

    /// Submits an order and returns its complete answer, without keep-alive frames.
    pub(super) async fn ask(&self, order: RunOrder) -> Vec<RunPart> {
        let mut reader = self.submit(order);
        let mut parts = Vec::new();
        while let Some(frame) = reader.next::<RunFrame>().await.expect("the frame decodes") {
            if frame.part != RunPart::Alive {
                parts.push(frame.part);
            }
        }
        parts
    }

    /// Queries the outcome of `attempt`.
    pub(super) fn resolve(&self, attempt: AttemptId) -> OutcomeReply {
        let incarnation = self.incarnation;
        let query = OutcomeQuery {
            attempt,
            incarnation,
        };
        resolve(&self.handle.shared, &query)
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

/// Returns the text of the body of an answer.
pub(super) fn body_of(parts: &[RunPart]) -> String {
    let mut text = Vec::new();
    for part in parts {
        if let RunPart::Body(bytes) = part {
            text.extend_from_slice(bytes);
        }
    }
    String::from_utf8(text).expect("the fake writes text")
}
