//! The interface to a model engine, independent of the dialect that the engine speaks.

use bytestring::ByteString;
use futures::future::BoxFuture;
use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::documents::RequestPriority;
use crate::errors::SwitchResult;
use crate::membership::{LoadReport, ServingVersion};

/// The fixed properties of an engine, read once.
#[apply(plain!)]
pub(crate) struct EngineProfile {
    /// Whether the engine refuses orders with an outdated fencing number.
    pub(crate) checks_fencing: bool,
    /// Number of requests that the engine can run concurrently.
    pub(crate) running_max: u32,
}

/// The state that an engine reports. It lags behind the actual state by `age_ms`.
#[apply(plain!)]
pub(crate) struct EngineState {
    /// The load.
    pub(crate) load: LoadReport,
    /// The version that the engine serves; `None` if it has loaded none.
    pub(crate) serving: Option<ServingVersion>,
    /// The greatest fencing number that the engine has received; 0 if its dialect has none.
    pub(crate) fence: u64,
    /// Age of the report, in milliseconds.
    pub(crate) age_ms: u64,
}

/// An order to load a version.
#[apply(plain!)]
pub(crate) struct LoadOrder {
    /// The fencing number of the order.
    pub(crate) fence: u64,
    /// The version to load.
    pub(crate) serving: ServingVersion,
    /// Size of the complete weights, in bytes.
    pub(crate) size: u64,
    /// Loopback URL from which the engine reads the complete weights.
    pub(crate) source_url: String,
}

/// A request to generate text.
#[apply(plain!)]
pub(crate) struct EngineCall {
    /// The request id, which the parts of the answer carry and which cancels the request.
    pub(crate) request: ByteString,
    /// The prompt.
    pub(crate) prompt: ByteString,
    /// Largest number of tokens in the complete answer, including those that are skipped.
    pub(crate) max_tokens: u32,
    /// Number of tokens to skip at the beginning of the answer.
    pub(crate) resume_from: u32,
    /// The priority.
    pub(crate) priority: RequestPriority,
}

/// One part of an engine's answer.
#[apply(plain!)]
pub(crate) enum EnginePart {
    /// A token.
    Token {
        /// The request id that the engine reports for this part.
        request: ByteString,
        /// Index of the token in the complete answer.
        index: u32,
        /// Text of the token.
        text: ByteString,
    },
    /// The end of the answer.
    Finish {
        /// The request id that the engine reports for this part.
        request: ByteString,
        /// Number of tokens in the complete answer.
        tokens: u32,
        /// The reason for the end, such as `stop` or `length`.
        reason: ByteString,
    },
}

/// The parts of an engine's answer. If the stream ends without `Finish`, the answer is incomplete.
pub(crate) type EngineStream =
    std::pin::Pin<Box<dyn futures::Stream<Item = SwitchResult<EnginePart>> + Send>>;

/// One change of an engine's prefix cache.
#[apply(plain!)]
pub(crate) struct CacheEvent {
    /// The hash of the prefix, in the engine's own form.
    pub(crate) prefix: ByteString,
    /// Whether the prefix is cached now; otherwise it has been evicted.
    pub(crate) is_cached: bool,
}

/// The changes of the prefix cache since an earlier reading. They may be late and incomplete.
#[apply(plain!)]
pub(crate) struct CacheChanges {
    /// The changes.
    pub(crate) events: Vec<CacheEvent>,
    /// Cursor from which to read next time.
    pub(crate) next_cursor: u64,
    /// Whether changes since the earlier reading were lost.
    pub(crate) has_gap: bool,
}

/// The interface to a model engine.
pub(crate) trait EngineAdapter: Send + Sync + 'static {
    /// Reads the engine's fixed properties.
    fn read_profile(&self) -> BoxFuture<'_, SwitchResult<EngineProfile>>;

    /// Reads the engine's current state.
    fn read_state(&self) -> BoxFuture<'_, SwitchResult<EngineState>>;

    /// Loads a version; returns when the engine reports that it has loaded it.
    ///
    /// # Errors
    ///
    /// `OrderStale` if the engine has received a greater fencing number. After any other error the
    /// outcome is unknown, and the caller has to read the engine's state.
    fn load_version<'a>(&'a self, order: &'a LoadOrder) -> BoxFuture<'a, SwitchResult<()>>;

    /// Sets the engine's role.
    ///
    /// # Errors
    ///
    /// `OrderStale` if the engine checks fencing numbers and has received a greater one.
    fn set_role<'a>(&'a self, role: &'a str, fence: u64) -> BoxFuture<'a, SwitchResult<()>>;

    /// Starts a request.
    ///
    /// # Errors
    ///
    /// `EngineRefused` and `ConnectFailed` mean that the request did not run.
    fn generate(&self, call: EngineCall) -> BoxFuture<'_, SwitchResult<EngineStream>>;

    /// Cancels the request with this id.
    fn cancel<'a>(&'a self, request: &'a str) -> BoxFuture<'a, SwitchResult<()>>;

    /// Reads the changes of the prefix cache after the cursor `after`.
    fn read_cache_changes(&self, after: u64) -> BoxFuture<'_, SwitchResult<CacheChanges>>;
}
