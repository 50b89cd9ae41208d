//! Tests of the guard with faulty streams of model engines.

use std::sync::Arc;
use std::sync::Mutex;

use bytestring::ByteString;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::stream;

use super::fakes::{TestHost, wake_up};
use crate::delivery::{AnswerDigest, RunCall, RunOrder, RunPart};
use crate::engines::{
    CacheChanges, EngineAdapter, EngineCall, EnginePart, EngineProfile, EngineState, EngineStream,
    LoadOrder,
};
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};
use crate::guard::{LocalBackend, ServingGate};
use crate::membership::{LoadReport, ServingVersion};
use crate::weights::WeightsDigest;

/// One step of the engine's script.
#[derive(Clone, Copy, Debug)]
enum ScriptStep {
    /// A token of this request with this index.
    Token(u32),
    /// A token of another request with this index.
    Foreign(u32),
    /// The end of the answer, with this reported number of tokens.
    Finish(u32),
    /// The connection fails.
    Break,
}

/// An engine that follows a script and always reports that it is idle.
struct ScriptEngine {
    script: Vec<ScriptStep>,
    cancelled: Mutex<Vec<String>>,
}

fn text(index: u32) -> ByteString {
    format!("t{index} ").into()
}

fn serving() -> ServingVersion {
    ServingVersion {
        version: "v1".into(),
        digest: WeightsDigest::of(b"v1"),
    }
}

impl ScriptEngine {
    fn part(request: &ByteString, step: ScriptStep) -> SwitchResult<EnginePart> {
        let token = |request: ByteString, index| EnginePart::Token {
            request,
            index,
            text: text(index),
        };
        match step {
            ScriptStep::Token(index) => Ok(token(request.clone(), index)),
            ScriptStep::Foreign(index) => Ok(token("another".into(), index)),
            ScriptStep::Finish(tokens) => Ok(EnginePart::Finish {
                request: request.clone(),
                tokens,
                reason: "stop".into(),
            }),
            ScriptStep::Break => Err(SwitchError::new(
                ErrorKind::EngineFailed,
                "the engine failed",
            )),
        }
    }
}

impl EngineAdapter for ScriptEngine {
    fn read_profile(&self) -> BoxFuture<'_, SwitchResult<EngineProfile>> {
        let profile = EngineProfile {
            checks_fencing: false,
            running_max: 2,
        };
        async move { Ok(profile) }.boxed()
    }

    fn read_state(&self) -> BoxFuture<'_, SwitchResult<EngineState>> {
        let state = EngineState {
            load: LoadReport::default(),
            serving: Some(serving()),
            fence: 0,
            age_ms: 2_000,
        };
        async move { Ok(state) }.boxed()
    }

    fn load_version<'a>(&'a self, _order: &'a LoadOrder) -> BoxFuture<'a, SwitchResult<()>> {
        async { Ok(()) }.boxed()
    }

    fn set_role<'a>(&'a self, _role: &'a str, _fence: u64) -> BoxFuture<'a, SwitchResult<()>> {
        async { Ok(()) }.boxed()
    }

    fn generate(&self, call: EngineCall) -> BoxFuture<'_, SwitchResult<EngineStream>> {
        let steps = self.script.iter().copied();
        let parts: Vec<_> = steps.map(|step| Self::part(&call.request, step)).collect();
        async move { Ok(Box::pin(stream::iter(parts)) as EngineStream) }.boxed()
    }

    fn cancel<'a>(&'a self, request: &'a str) -> BoxFuture<'a, SwitchResult<()>> {
        let mut cancelled = self.cancelled.lock().expect("the lock is not poisoned");
        cancelled.push(request.to_owned());
        async { Ok(()) }.boxed()
    }

    fn read_cache_changes(&self, after: u64) -> BoxFuture<'_, SwitchResult<CacheChanges>> {
        let changes = CacheChanges {
            events: Vec::new(),
            next_cursor: after,
            has_gap: false,
        };
        async move { Ok(changes) }.boxed()
    }
}

struct StreamFixture {
    engine: Arc<ScriptEngine>,
    host: TestHost,
}

impl StreamFixture {
    fn start(script: &[ScriptStep]) -> Self {
        let engine = Arc::new(ScriptEngine {
            script: script.to_vec(),
            cancelled: Mutex::default(),
        });
        let gate = ServingGate::default();
        gate.open(serving());
        let backend = LocalBackend::Model(engine.clone());
        let host = TestHost::start_with("lima-1", backend, gate);
        Self { engine, host }
    }

    async fn ask(&self, resume_from: u32) -> Vec<RunPart> {
        self.host.ask(generate(resume_from)).await
    }
}

fn generate(resume_from: u32) -> RunOrder {
    RunOrder {
        repeatable: true,
        call: RunCall::Generate {
            prompt: "sky".into(),
            max_tokens: 8,
            resume_from,
            resume_version: (resume_from > 0).then(|| serving().digest),
        },
        ..wake_up()
    }
}

fn tokens_of(parts: &[RunPart]) -> Vec<u32> {
    let index = |part: &RunPart| match part {
        RunPart::Token { index, .. } => Some(*index),
        _ => None,
    };
    parts.iter().filter_map(index).collect()
}

#[tokio::test]
async fn a_complete_answer_ends_with_its_digest() {
    let fixture = StreamFixture::start(&[
        ScriptStep::Token(3),
        ScriptStep::Token(4),
        ScriptStep::Finish(5),
    ]);
    let parts = fixture.ask(3).await;
    assert_eq!(tokens_of(&parts), [3, 4]);
    let mut hasher = blake3::Hasher::new();
    hasher.update(text(3).as_bytes());
    hasher.update(text(4).as_bytes());
    let expected = AnswerDigest::from_hasher(&hasher);
    assert!(
        matches!(parts.last(), Some(RunPart::End { digest, load, .. })
            if *digest == expected && load.running == 0 && load.capacity == 2)
    );
}

// Guards against showing a caller the answer of another: an engine mixes up two streams, and the
// request id of a token is not checked.
#[tokio::test]
async fn foreign_and_duplicate_tokens_are_dropped() {
    let script = [
        ScriptStep::Token(0),
        ScriptStep::Foreign(1),
        ScriptStep::Token(0),
        ScriptStep::Token(1),
        ScriptStep::Finish(2),
    ];
    let parts = StreamFixture::start(&script).ask(0).await;
    assert_eq!(tokens_of(&parts), [0, 1]);
    assert!(matches!(parts.last(), Some(RunPart::End { .. })));
}

// Guards against a truncated answer that seems complete, because the end of a connection is taken
// for the end of the answer. The engine dies in mid-stream, reports more tokens than arrived, or
// skips a token.
#[tokio::test]
async fn a_truncated_answer_never_ends_normally() {
    let scripts: [&[ScriptStep]; 4] = [
        &[ScriptStep::Token(0), ScriptStep::Break],
        &[ScriptStep::Token(0)],
        &[ScriptStep::Token(0), ScriptStep::Finish(3)],
        &[
            ScriptStep::Token(0),
            ScriptStep::Token(2),
            ScriptStep::Finish(3),
        ],
    ];
    for script in scripts {
        let fixture = StreamFixture::start(script);
        let parts = fixture.ask(0).await;
        assert_eq!(tokens_of(&parts), [0], "{script:?}");
        let is_broken = matches!(parts.last(), Some(RunPart::Broken { .. }));
        assert!(is_broken, "{script:?}");
        let cancelled = fixture
            .engine
            .cancelled
            .lock()
            .expect("the lock is not poisoned");
        assert_eq!(cancelled.len(), 1, "{script:?}");
    }
}

// Guards against an answer that mixes two versions: a stream is resumed on a host that has changed
// to another version, and the required version is not checked.
#[tokio::test]
async fn a_stream_is_not_resumed_on_another_version() {
    let fixture = StreamFixture::start(&[ScriptStep::Finish(0)]);
    let mut order = generate(1);
    if let RunCall::Generate { resume_version, .. } = &mut order.call {
        *resume_version = Some(WeightsDigest::of(b"v2"));
    }
    let parts = fixture.host.ask(order).await;
    let is_refused = matches!(
        parts.as_slice(),
        [RunPart::Refused {
            kind: ErrorKind::VersionMismatch,
            outcome: RunOutcome::NotRun,
            ..
        }]
    );
    assert!(is_refused, "{parts:?}");
}

// Guards against a planned shutdown that interrupts requests or delays them until their deadline,
// because new requests are not distinguished from running ones.
#[tokio::test]
async fn a_draining_host_refuses_new_requests() {
    let fixture = StreamFixture::start(&[ScriptStep::Token(0), ScriptStep::Finish(1)]);
    fixture.host.drain.begin();
    let parts = fixture.ask(0).await;
    let is_refused = matches!(
        parts.as_slice(),
        [RunPart::Refused {
            kind: ErrorKind::BackendLeaving,
            outcome: RunOutcome::NotRun,
            ..
        }]
    );
    assert!(is_refused, "{parts:?}");
}
