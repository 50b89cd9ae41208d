//! Calls to plain services whose connections stop responding, and large bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;

use super::fakes::{CountingPlain, TestHost, body_of, wake_up};
use crate::delivery::{RunOrder, RunPart};
use crate::engines::{PlainAdapter, PlainAnswer, PlainCall};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::guard::LocalBackend;

/// A service whose first connection never responds.
#[derive(Default)]
struct FirstUnresponsive {
    connections: AtomicU32,
    answering: CountingPlain,
}

impl PlainAdapter for FirstUnresponsive {
    fn forward(&self, call: PlainCall) -> BoxFuture<'_, SwitchResult<PlainAnswer>> {
        async move {
            if self.connections.fetch_add(1, Ordering::Relaxed) == 0 {
                tokio::time::sleep(call.head_timeout).await;
                return Err(SwitchError::new(ErrorKind::PeerSilent, "silent"));
            }
            self.answering.forward(call).await
        }
        .boxed()
    }
}

fn order(repeatable: bool) -> RunOrder {
    RunOrder {
        repeatable,
        deadline_ms: 600,
        ..wake_up()
    }
}

async fn ask(repeatable: bool) -> (Vec<RunPart>, u32) {
    let service = Arc::new(FirstUnresponsive::default());
    let backend = LocalBackend::Plain(Arc::clone(&service) as Arc<dyn PlainAdapter>);
    let host = TestHost::start("lima-1", backend);
    let mut reader = host.submit(order(repeatable));
    // An unrepeatable call gets no answer in this test, so it ends at the second keep-alive frame.
    let mut parts = Vec::new();
    let mut alive = 0;
    while let Some(frame) = reader
        .next::<crate::delivery::RunFrame>()
        .await
        .expect("the frame decodes")
    {
        match frame.part {
            RunPart::Alive if alive > 0 => break,
            RunPart::Alive => alive += 1,
            part => parts.push(part),
        }
    }
    (parts, service.connections.load(Ordering::Relaxed))
}

// Guards against calls that fail at their deadline while others are answered at once: a device
// between host process and service loses the state of a connection, and no second connection is
// tried.
#[tokio::test]
async fn an_unresponsive_call_is_sent_again_on_a_second_connection() {
    let (parts, connections) = ask(true).await;
    assert_eq!(body_of(&parts), "run 1");
    assert_eq!(connections, 2);
}

// The same fault, but the call is unrepeatable and may be running although the connection does not
// respond.
#[tokio::test]
async fn an_unrepeatable_call_is_sent_once() {
    let (parts, connections) = ask(false).await;
    assert!(parts.is_empty(), "{parts:?}");
    assert_eq!(connections, 1);
}

#[tokio::test]
async fn a_body_is_passed_on_completely() {
    let plain = Arc::new(CountingPlain::default());
    plain.padding.store(200_000, Ordering::Relaxed);
    let host = TestHost::start("lima-1", LocalBackend::Plain(plain));
    let mut order = order(true);
    order.deadline_ms = 20_000;
    let parts = host.ask(order).await;
    assert_eq!(body_of(&parts).len(), 200_005);
    let digest_of = |bytes: &Bytes| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(bytes);
        crate::delivery::AnswerDigest::from_hasher(&hasher)
    };
    let expected = digest_of(&Bytes::from(body_of(&parts)));
    assert!(matches!(parts.last(), Some(RunPart::End { digest, .. }) if *digest == expected));
}
