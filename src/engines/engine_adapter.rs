//! The edge towards a model engine.

use bytestring::ByteString;
use futures::future::BoxFuture;
use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::documents::RequestPriority;
use crate::errors::SwitchResult;
use crate::membership::{LoadReport, ServingVersion};

/// What an engine says when it is met.
#[apply(plain!)]
pub(crate) struct EngineProfile {
    /// Whether it refuses an order with an old fencing number.
    pub(crate) checks_fencing: bool,
    /// Requests that it runs at a time.
    pub(crate) running_max: u32,
}

/// An engine's state. Reported with a lag.
#[apply(plain!)]
pub(crate) struct EngineState {
    /// How busy it was.
    pub(crate) load: LoadReport,
    /// What it serves.
    pub(crate) serving: Option<ServingVersion>,
    /// The greatest fencing number that it has seen; 0 when it keeps none.
    pub(crate) fence: u64,
    /// How old the report is, in milliseconds.
    pub(crate) age_ms: u64,
}

/// An order to load a version.
#[apply(plain!)]
pub(crate) struct LoadOrder {
    /// The order's fencing number.
    pub(crate) fence: u64,
    /// The version.
    pub(crate) serving: ServingVersion,
    /// Bytes of the whole version.
    pub(crate) size: u64,
    /// Where on loopback the engine reads the whole version.
    pub(crate) source_url: String,
}

/// A request to generate.
#[apply(plain!)]
pub(crate) struct EngineCall {
    /// Names it in its answer and when it is cancelled.
    pub(crate) request: ByteString,
    /// The prompt.
    pub(crate) prompt: ByteString,
    /// Tokens at most, counted from the beginning of the answer.
    pub(crate) max_tokens: u32,
    /// Tokens to leave out at the beginning.
    pub(crate) resume_from: u32,
    /// How urgent it is.
    pub(crate) priority: RequestPriority,
}

/// One part of an engine's answer.
#[apply(plain!)]
pub(crate) enum EnginePart {
    /// A token.
    Token {
        /// The request that the engine says it belongs to.
        request: ByteString,
        /// Its place in the whole answer.
        index: u32,
        /// Its text.
        text: ByteString,
    },
    /// The end of the answer.
    Finish {
        /// The request that the engine says it belongs to.
        request: ByteString,
        /// Tokens of the whole answer.
        tokens: u32,
        /// Why it ended.
        reason: ByteString,
    },
}

/// An engine's answer, part by part. A stream that ends without `Finish` broke off.
pub(crate) type EngineStream =
    std::pin::Pin<Box<dyn futures::Stream<Item = SwitchResult<EnginePart>> + Send>>;

/// What changed in an engine's prefix cache.
#[apply(plain!)]
pub(crate) struct CacheEvent {
    /// The prefix's hash, as the engine names it.
    pub(crate) prefix: ByteString,
    /// Whether it is now held.
    pub(crate) held: bool,
}

/// Cache events since an earlier reading. Late and with gaps.
#[apply(plain!)]
pub(crate) struct CacheChanges {
    /// The events.
    pub(crate) events: Vec<CacheEvent>,
    /// What to ask from next time.
    pub(crate) next_cursor: u64,
    /// Whether events were lost in between.
    pub(crate) has_gap: bool,
}

/// A model engine.
pub(crate) trait EngineAdapter: Send + Sync + 'static {
    /// Asks what it is.
    fn read_profile(&self) -> BoxFuture<'_, SwitchResult<EngineProfile>>;

    /// Reads its state.
    fn read_state(&self) -> BoxFuture<'_, SwitchResult<EngineState>>;

    /// Orders it to load a version; returns when it says that it is done. `OrderStale` when it has
    /// seen a greater fencing number. After any other error the caller reads the state back.
    fn load_version<'a>(&'a self, order: &'a LoadOrder) -> BoxFuture<'a, SwitchResult<()>>;

    /// Changes its role.
    fn set_role<'a>(&'a self, role: &'a str, fence: u64) -> BoxFuture<'a, SwitchResult<()>>;

    /// Starts a request. `EngineRefused` and `ConnectFailed` mean that it does not run.
    fn generate(&self, call: EngineCall) -> BoxFuture<'_, SwitchResult<EngineStream>>;

    /// Cancels a request.
    fn cancel<'a>(&'a self, request: &'a str) -> BoxFuture<'a, SwitchResult<()>>;

    /// Reads what changed in its prefix cache.
    fn read_cache_changes(&self, after: u64) -> BoxFuture<'_, SwitchResult<CacheChanges>>;
}
