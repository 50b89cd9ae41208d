//! The rows of the operator's table in the store: the document, and the target version of each
//! model.

use std::num::NonZeroU64;

use bytestring::ByteString;
use serde::Deserialize;

use super::json_object::read_object;
use super::millis::{millis, seconds};
use crate::catalog::{
    AccountRecord, BackendService, CallerLimits, CatalogVersion, ColdStart, EngineFacts,
    RetryPolicy, RouteRule, RouteTable, ServiceCatalog, ServiceShare, WeightsOrigin,
};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::overload::EngineSpeed;
use crate::placement::HomeRegions;

const DOCUMENT_KEY: &str = "config";
const VERSION_KEY_PREFIX: &str = "version/";
const EVACUATION_KEY_PREFIX: &str = "evacuate/";
const DEFAULT_ATTEMPTS_MAX: u32 = 1;
const DEFAULT_TIMEOUT_MS: f64 = 60_000.0;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// The kinds of rows in the operator's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperatorRow<'a> {
    /// The document.
    Document,
    /// The target version of a model.
    TargetVersion,
    /// The evacuation of this data centre, as long as the row exists.
    Evacuation(&'a str),
    /// A row that this program does not know.
    Other,
}

impl<'a> OperatorRow<'a> {
    /// The kind of the row with `key`.
    pub(crate) fn of(key: &'a str) -> Self {
        if key == DOCUMENT_KEY {
            Self::Document
        } else if key.starts_with(VERSION_KEY_PREFIX) {
            Self::TargetVersion
        } else if let Some(data_centre) = key.strip_prefix(EVACUATION_KEY_PREFIX) {
            Self::Evacuation(data_centre)
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
    /// The latency up to which a response is fully useful; not a limit.
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    #[serde(default)]
    weighted_services: Vec<ShareText>,
    /// The most backend servers that a request is sent to, including the first.
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    /// The regions in which requests may be served; empty means everywhere.
    #[serde(default)]
    allowed_regions: Vec<String>,
    #[serde(default)]
    stream_resume: bool,
    /// Streams only: the longest pause between two events that still counts as on time.
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
    /// How long a backend server is cold after its start.
    #[serde(default)]
    cold_s: f64,
    /// Requests per second that a cold backend server accepts.
    cold_per_s: Option<f64>,
}

#[derive(Deserialize)]
struct EngineText {
    #[serde(default)]
    models: Vec<ModelText>,
    #[serde(default = "one")]
    layers: u32,
    /// The time of one decoding step of the batch.
    #[serde(default)]
    step_ms: f64,
    /// The time that each request of the batch adds to a step.
    #[serde(default)]
    per_seq_ms: f64,
    /// Prompt tokens that the engine processes per second.
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
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

impl Default for LimitsText {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 10_000.0,
            idle_timeout_ms: 60_000.0,
        }
    }
}

#[derive(Deserialize)]
struct AccountText {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
    /// As for routes.
    #[serde(default)]
    allowed_regions: Vec<String>,
}

#[derive(Deserialize)]
struct VersionText {
    model: String,
    /// Starts at 1.
    version: NonZeroU64,
}

/// No field is specified.
#[derive(Deserialize)]
struct EvacuationText {}

const fn one() -> u32 {
    1
}

/// Decodes the document.
///
/// One invalid route, service or client account makes the entire document invalid, and the previous
/// document stays in force. The store accepts only valid documents, and if an invalid route were
/// skipped, its requests would be answered as if the operator had removed the route. Two faults are
/// tolerated: requests to a route of an unknown kind are never repeated, and a service whose origin
/// is no valid address has no origin.
///
/// # Errors
///
/// `DocumentInvalid` if the document cannot be decoded.
pub(crate) fn read_document(value: &[u8]) -> SwitchResult<ServiceCatalog> {
    let text: DocumentText = read_object(value).map_err(|fault| invalid(&fault))?;
    let mut services: Vec<BackendService> = text.services.into_iter().map(read_service).collect();
    services.sort_by(|left, right| left.name.cmp(&right.name));
    let mut accounts = Vec::new();
    let mut keys = Vec::new();
    for account in text.tenants {
        let index = accounts.len();
        keys.extend(account.api_keys.into_iter().map(|key| (key.into(), index)));
        accounts.push(AccountRecord {
            name: account.name.into(),
            priority: account.priority,
            homes: home_regions(account.allowed_regions),
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
            head_timeout: millis(text.limits.header_timeout_ms),
            idle_timeout: millis(text.limits.idle_timeout_ms),
        },
    })
}

/// Checks the value of the row that evacuates `data_centre`. The evacuation is in force whatever the
/// value is, except without a data centre.
///
/// # Errors
///
/// `DocumentInvalid` if the key names no data centre, or the value is no object.
pub(crate) fn check_evacuation(data_centre: &str, value: &[u8]) -> SwitchResult<()> {
    if data_centre.is_empty() {
        return Err(invalid(&"the key names no data centre"));
    }
    read_object::<EvacuationText>(value)
        .map(drop)
        .map_err(|fault| invalid(&fault))
}

/// Decodes the target version of a model from the row with `key`.
///
/// # Errors
///
/// `DocumentInvalid` if the row cannot be decoded, or names another model than its key.
pub(crate) fn read_target_version(key: &str, value: &[u8]) -> SwitchResult<ModelVersion> {
    let text: VersionText = read_object(value).map_err(|fault| invalid(&fault))?;
    if key.strip_prefix(VERSION_KEY_PREFIX) != Some(&*text.model) {
        // The other model has a row of its own, which sets its target version.
        return Err(invalid(&"the row names another model than its key"));
    }
    Ok(ModelVersion {
        model: text.model.into(),
        version: WeightsVersion(text.version.get()),
    })
}

fn read_route(text: RouteText) -> RouteRule {
    let retry_policy = match (text.kind.as_str(), text.stream_resume) {
        ("streaming", true) => RetryPolicy::ResumableStream,
        ("streaming", false) => RetryPolicy::SingleStream,
        ("idempotent", _) => RetryPolicy::Idempotent,
        // The most restrictive rule, for kinds that this program does not know.
        _ => RetryPolicy::AtMostOnce,
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
        retry_policy,
        timeout: millis(text.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS)),
        latency_target: millis(text.target_latency_ms),
        gap_target: millis(text.gap_target_ms),
        priority: text.priority,
        shares,
        attempts_max: text.max_attempts.unwrap_or(DEFAULT_ATTEMPTS_MAX),
        is_public: text.public,
        homes: home_regions(text.allowed_regions),
    }
}

fn read_service(text: ServiceText) -> BackendService {
    let origin = text.origin.and_then(|address| address.parse().ok());
    BackendService {
        name: text.name.into(),
        engine: text.engine.map(read_engine),
        origin: origin.map(|address| WeightsOrigin { address }),
        cold_start: read_cold_start(text.cold_s, text.cold_per_s),
    }
}

fn home_regions(names: Vec<String>) -> HomeRegions {
    HomeRegions::of_list(names.into_iter().map(ByteString::from).collect())
}

/// A negative rate counts as zero, at which a cold backend server gets no requests.
fn read_cold_start(cold_s: f64, cold_per_s: Option<f64>) -> Option<ColdStart> {
    let span = seconds(cold_s);
    let rate = cold_per_s.filter(|_| !span.is_zero())?;
    Some(ColdStart {
        span,
        rate: rate.max(0.0),
    })
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
