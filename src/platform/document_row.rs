//! The operator's document, as it stands in the store.

use std::num::NonZeroU64;

use serde::Deserialize;

use super::json_object::read_object;
use super::millis::millis;
use crate::catalog::{
    AccountRecord, BackendService, CallerLimits, CatalogVersion, EngineFacts, RepeatRule,
    RouteRule, RouteTable, ServiceCatalog, ServiceShare, WeightsOrigin,
};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::overload::EngineSpeed;

const DOCUMENT_KEY: &str = "config";
const VERSION_KEY_PREFIX: &str = "version/";
const DEFAULT_ATTEMPTS_MAX: u32 = 1;
const DEFAULT_TIMEOUT_MS: f64 = 60_000.0;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Which row of the operator's table a key names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DocumentRow {
    /// The document.
    Document,
    /// A version of weights that is wanted.
    WantedVersion,
    /// Nothing that this program knows.
    Other,
}

impl DocumentRow {
    /// What `key` names.
    pub(crate) fn of(key: &str) -> Self {
        if key == DOCUMENT_KEY {
            Self::Document
        } else if key.starts_with(VERSION_KEY_PREFIX) {
            Self::WantedVersion
        } else {
            Self::Other
        }
    }
}

#[derive(Deserialize)]
struct DocumentText {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteText>,
    #[serde(default)]
    services: Vec<ServiceText>,
    #[serde(default)]
    limits: LimitsText,
    #[serde(default)]
    tenants: Vec<AccountText>,
}

#[derive(Deserialize)]
struct RouteText {
    name: String,
    host: String,
    prefix: String,
    kind: String,
    timeout_ms: Option<f64>,
    /// The time within which an answer is fully useful, not a limit on anything.
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    #[serde(default)]
    weighted_services: Vec<ShareText>,
    /// Counts backend servers, the first included.
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
    /// The longest pause between two events of an answer that is still on time; streams only.
    #[serde(default)]
    gap_target_ms: f64,
}

#[derive(Deserialize)]
struct ShareText {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
struct ServiceText {
    name: String,
    engine: Option<EngineText>,
    origin: Option<String>,
}

#[derive(Deserialize)]
struct EngineText {
    #[serde(default)]
    models: Vec<ModelText>,
    #[serde(default = "one")]
    layers: u32,
    /// One token step of the whole batch.
    #[serde(default)]
    step_ms: f64,
    /// What each request of the batch adds to a step.
    #[serde(default)]
    per_seq_ms: f64,
    /// Prompt tokens in a second.
    #[serde(default)]
    read_per_s: f64,
    #[serde(default)]
    usual: UsualText,
}

/// Mean token counts of a request.
#[derive(Default, Deserialize)]
#[serde(default)]
struct UsualText {
    prompt: f64,
    answer: f64,
}

#[derive(Deserialize)]
struct ModelText {
    name: String,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitsText {
    max_header_bytes: usize,
    max_body_bytes: usize,
}

impl Default for LimitsText {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
        }
    }
}

#[derive(Deserialize)]
struct AccountText {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
}

#[derive(Deserialize)]
struct VersionText {
    model: String,
    /// Counts from 1.
    version: NonZeroU64,
}

const fn one() -> u32 {
    1
}

/// Reads the document.
///
/// It is taken as a whole or not at all: one route, service or client account that does not read
/// leaves the earlier document in force. The store accepts only valid ones, and without a route that
/// was meant, requests would be answered as if it had been taken away. What does not stop it: a route
/// of an unknown kind may not be repeated, a service whose origin is no address has none.
///
/// # Errors
///
/// `DocumentInvalid` when it does not read.
pub(crate) fn read_document(value: &[u8]) -> SwitchResult<ServiceCatalog> {
    let text: DocumentText = read_object(value).map_err(|fault| invalid(&fault))?;
    let mut services: Vec<BackendService> = text.services.into_iter().map(read_service).collect();
    services.sort_by(|left, right| left.name.cmp(&right.name));
    let mut accounts = Vec::new();
    let mut keys = Vec::new();
    for account in text.tenants {
        let at = accounts.len();
        keys.extend(account.api_keys.into_iter().map(|key| (key.into(), at)));
        accounts.push(AccountRecord {
            name: account.name.into(),
            rank: account.priority,
        });
    }
    keys.sort_unstable();
    Ok(ServiceCatalog {
        version: CatalogVersion(text.version),
        routes: RouteTable::new(text.routes.into_iter().map(read_route).collect()),
        services,
        accounts,
        keys,
        limits: CallerLimits {
            header_bytes: text.limits.max_header_bytes,
            body_bytes: text.limits.max_body_bytes,
        },
    })
}

/// Reads which version of a model's weights is wanted, in the row with `key`.
///
/// # Errors
///
/// `DocumentInvalid` when it does not read, or is of another model than its key.
pub(crate) fn read_wanted_version(key: &str, value: &[u8]) -> SwitchResult<ModelVersion> {
    let text: VersionText = read_object(value).map_err(|fault| invalid(&fault))?;
    if key.strip_prefix(VERSION_KEY_PREFIX) != Some(&*text.model) {
        // Taken for what it says, it would name a version of a model that has a row of its own.
        return Err(invalid(&"it is of another model than its key"));
    }
    Ok(ModelVersion {
        model: text.model.into(),
        version: WeightsVersion(text.version.get()),
    })
}

fn read_route(text: RouteText) -> RouteRule {
    let repeat = match (text.kind.as_str(), text.stream_resume) {
        ("streaming", true) => RepeatRule::ResumableStream,
        ("streaming", false) => RepeatRule::SingleStream,
        ("idempotent", _) => RepeatRule::Idempotent,
        // A kind that is not known is taken for the one that allows least.
        _ => RepeatRule::AtMostOnce,
    };
    let mut shares: Vec<ServiceShare> = text
        .weighted_services
        .into_iter()
        .map(|share| ServiceShare {
            service: share.service.into(),
            weight: share.weight,
        })
        .collect();
    if let (true, Some(service)) = (shares.is_empty(), text.service) {
        shares.push(ServiceShare {
            service: service.into(),
            weight: 1,
        });
    }
    RouteRule {
        name: text.name.into(),
        host: text.host.to_ascii_lowercase().into(),
        prefix: text.prefix.into(),
        repeat,
        timeout: millis(text.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS)),
        target: millis(text.target_latency_ms),
        pause: millis(text.gap_target_ms),
        rank: text.priority,
        shares,
        attempts_max: text.max_attempts.unwrap_or(DEFAULT_ATTEMPTS_MAX),
        is_public: text.public,
    }
}

fn read_service(text: ServiceText) -> BackendService {
    let origin = text.origin.and_then(|address| address.parse().ok());
    BackendService {
        name: text.name.into(),
        engine: text.engine.map(read_engine),
        origin: origin.map(|address| WeightsOrigin { address }),
    }
}

fn read_engine(text: EngineText) -> EngineFacts {
    EngineFacts {
        models: text
            .models
            .into_iter()
            .map(|model| model.name.into())
            .collect(),
        layers: text.layers,
        speed: EngineSpeed {
            step_s: text.step_ms / MILLIS_PER_SECOND,
            request_step_s: text.per_seq_ms / MILLIS_PER_SECOND,
            read_per_s: text.read_per_s,
            typical_prompt_tokens: text.usual.prompt,
            typical_answer_tokens: text.usual.answer,
        },
    }
}

fn invalid(fault: &dyn std::fmt::Display) -> SwitchError {
    SwitchError::new(ErrorKind::DocumentInvalid, fault.to_string())
}
