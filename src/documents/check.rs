//! Validation of service documents.
//!
//! All faults of a document are reported at once, each with its path, the value given and the value
//! expected. The structure is validated against the published schema, the semantics in this module.

use std::fmt::Display;
use std::sync::OnceLock;

use jsonschema::error::ValidationErrorKind;
use jsonschema::{ValidationError, Validator};
use macro_rules_attribute::apply;
use schemars::schema_for;
use serde_json::Value;

use super::schema::{AccountSpec, HostSelection, RouteSpec, ServiceDocument, ServiceKind};
use super::unknown_fields::split_unknown;
use crate::derives::message;

/// Maximum size of a document in bytes: several times that of a document with 1000 accounts.
pub(crate) const DOCUMENT_BYTES_MAX: usize = 1024 * 1024;

/// The document format that this version of the program supports.
const FORMAT: u32 = 1;
const NAME_LENGTH_MAX: usize = 64;
const DIGEST_HEX_LENGTH: usize = 64;
const GIVEN_LENGTH_MAX: usize = 80;
const PERCENT_MAX: u32 = 100;
const ATTEMPTS_MAX: u32 = 10;
const DEADLINE_MAX_MS: u64 = 24 * 60 * 60 * 1000;

/// A fault in a document.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct DocumentFault {
    /// The location, as a JSON pointer.
    pub(crate) path: String,
    /// The value that was given.
    pub(crate) given: String,
    /// The values that are valid.
    pub(crate) wanted: String,
}

/// The JSON schema of service documents.
pub(crate) fn json_schema() -> Value {
    schema_for!(ServiceDocument).to_value()
}

fn validator() -> Option<&'static Validator> {
    static VALIDATOR: OnceLock<Option<Validator>> = OnceLock::new();
    VALIDATOR
        .get_or_init(|| jsonschema::validator_for(&json_schema()).ok())
        .as_ref()
}

/// Parses a document from JSON `text` and validates it completely.
///
/// # Errors
///
/// All faults found. If the structure has faults, the semantics are validated only if the document
/// can still be parsed.
pub(crate) fn check_document(text: &[u8]) -> Result<(Value, ServiceDocument), Vec<DocumentFault>> {
    if text.len() > DOCUMENT_BYTES_MAX {
        let given = format!("{} bytes", text.len());
        let wanted = format!("at most {DOCUMENT_BYTES_MAX} bytes");
        return Err(vec![fault("", given, wanted)]);
    }
    let value: Value = serde_json::from_slice(text)
        .map_err(|error| vec![fault("", error.to_string(), "a JSON object")])?;
    let mut faults = structure_faults(&value);
    if !faults.is_empty() {
        // The semantics are validated as well if possible, so that the author sees all faults at
        // once.
        if let Ok((document, _)) = split_unknown(&value) {
            faults.extend(semantic_faults(&document));
        }
        return Err(faults);
    }
    let document: ServiceDocument = serde_json::from_value(value.clone())
        .map_err(|error| vec![fault("", error.to_string(), "a document of the schema")])?;
    let faults = semantic_faults(&document);
    if faults.is_empty() {
        Ok((value, document))
    } else {
        Err(faults)
    }
}

fn structure_faults(value: &Value) -> Vec<DocumentFault> {
    let Some(validator) = validator() else {
        return Vec::new();
    };
    validator
        .iter_errors(value)
        .flat_map(|error| faults_of(&error))
        .collect()
}

/// Converts one error of the schema validator to document faults.
fn faults_of(error: &ValidationError<'_>) -> Vec<DocumentFault> {
    let path = error.instance_path().to_string();
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => unexpected
            .iter()
            .map(|name| {
                let given = error.instance().get(name).unwrap_or(&Value::Null);
                let given = shorten(&given.to_string());
                fault(&format!("{path}/{name}"), given, "no such field here")
            })
            .collect(),
        ValidationErrorKind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            vec![fault(&format!("{path}/{name}"), "nothing", "this field")]
        }
        _ => {
            let given = shorten(&error.instance().to_string());
            let choices = choices_at(error.evaluation_path().as_str());
            vec![fault(
                &path,
                given,
                choices.unwrap_or_else(|| error.to_string()),
            )]
        }
    }
}

/// Lists the alternatives that the schema allows at `schema_path`; `None` if it has no alternatives
/// there. The validator's own message would only say that no alternative matches.
fn choices_at(schema_path: &str) -> Option<String> {
    let schema = json_schema();
    let choices = schema_at(&schema, schema_path)?.as_array()?;
    let texts: Vec<String> = choices.iter().filter_map(choice_text).collect();
    (!texts.is_empty()).then(|| format!("one of: {}", texts.join(", ")))
}

fn choice_text(choice: &Value) -> Option<String> {
    if let Some(constant) = choice.get("const") {
        return Some(constant.to_string());
    }
    let fields = choice.get("properties")?.as_object()?;
    let (name, field) = fields.iter().next()?;
    let kind = field.get("type").and_then(Value::as_str).unwrap_or("value");
    Some(format!("{{\"{name}\": {kind}}}"))
}

/// The part of `schema` at `schema_path`, an evaluation path that may pass through `$ref`s.
fn schema_at<'a>(schema: &'a Value, schema_path: &str) -> Option<&'a Value> {
    let mut part = schema;
    for segment in schema_path.split('/').filter(|segment| !segment.is_empty()) {
        part = match part {
            Value::Array(items) => items.get(segment.parse::<usize>().ok()?)?,
            other => other.get(segment)?,
        };
        if segment == "$ref" {
            part = schema.pointer(part.as_str()?.trim_start_matches('#'))?;
        }
    }
    Some(part)
}

fn shorten(text: &str) -> String {
    match text.char_indices().nth(GIVEN_LENGTH_MAX) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_owned(),
    }
}

fn fault(path: &str, given: impl Into<String>, wanted: impl Into<String>) -> DocumentFault {
    DocumentFault {
        path: path.to_owned(),
        given: given.into(),
        wanted: wanted.into(),
    }
}

fn semantic_faults(document: &ServiceDocument) -> Vec<DocumentFault> {
    let mut faults = Faults::default();
    faults.require(
        document.format == FORMAT,
        "/format",
        document.format,
        "1, the only supported format",
    );
    faults.name("/service", &document.service);
    faults.name("/team", &document.team);
    faults.unique_list(
        "/change_key_digests",
        &document.change_key_digests,
        Faults::digest,
    );
    faults.unique_list("/data_centres", &document.data_centres, Faults::name);
    if let HostSelection::Named(hosts) = &document.hosts {
        faults.unique_list("/hosts/named", hosts, Faults::name);
    }
    faults.weights(document);
    faults.limits(document);
    faults.accounts(&document.accounts);
    for (index, route) in document.routes.iter().enumerate() {
        faults.route(&format!("/routes/{index}"), route, document.kind);
    }
    faults.found
}

#[derive(Default)]
struct Faults {
    found: Vec<DocumentFault>,
}

impl Faults {
    fn require(&mut self, holds: bool, path: &str, given: impl Display, wanted: &str) {
        if !holds {
            self.found
                .push(fault(path, shorten(&given.to_string()), wanted));
        }
    }

    fn name(&mut self, path: &str, name: &str) {
        let fits = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
        let is_name = !name.is_empty() && name.len() <= NAME_LENGTH_MAX && name.bytes().all(fits);
        self.require(is_name, path, name, "1 to 64 letters, digits and -");
    }

    fn digest(&mut self, path: &str, digest: &str) {
        let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        let is_digest = digest.len() == DIGEST_HEX_LENGTH && digest.bytes().all(is_hex);
        self.require(
            is_digest,
            path,
            digest,
            "a BLAKE3 digest: 64 digits and letters a to f; `savoryctl digest` makes one",
        );
    }

    /// Validates a list that must not be empty or contain duplicates; `check` validates each item.
    fn unique_list(
        &mut self,
        path: &str,
        items: &[bytestring::ByteString],
        check: fn(&mut Self, &str, &str),
    ) {
        self.require(!items.is_empty(), path, "[]", "at least one");
        for (index, item) in items.iter().enumerate() {
            let item_path = format!("{path}/{index}");
            check(self, &item_path, item);
            let is_first = !items[..index].contains(item);
            self.require(is_first, &item_path, item, "each only once");
        }
    }

    fn at_least_one(&mut self, path: &str, number: u32) {
        self.require(number >= 1, path, number, "1 or more");
    }

    fn percent(&mut self, path: &str, number: u32) {
        self.require(number <= PERCENT_MAX, path, number, "0 to 100");
    }

    fn weights(&mut self, document: &ServiceDocument) {
        match (&document.weights, document.kind) {
            (None, ServiceKind::Plain) => {}
            (None, ServiceKind::Model) => {
                self.require(false, "/weights", "none", "weights: the service is a model");
            }
            (Some(_), ServiceKind::Plain) => {
                let wanted = "no weights: the service is plain";
                self.require(false, "/weights", "weights", wanted);
            }
            (Some(weights), ServiceKind::Model) => {
                self.weights_name("/weights/version", &weights.version);
                self.weights_name("/weights/source", &weights.source);
                self.digest("/weights/digest", &weights.digest);
            }
        }
    }

    /// Validates the name of a version or of a source of weights. These names occur in paths and
    /// row keys, where `.` and `_` are safe.
    fn weights_name(&mut self, path: &str, name: &str) {
        let fits = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
        let is_name = !name.is_empty() && name.len() <= NAME_LENGTH_MAX && name.bytes().all(fits);
        self.require(is_name, path, name, "1 to 64 letters, digits, -, . and _");
    }

    fn limits(&mut self, document: &ServiceDocument) {
        let rollout = &document.rollout;
        self.at_least_one("/rollout/max_out_of_service", rollout.max_out_of_service);
        self.at_least_one("/rollout/stop_after_failures", rollout.stop_after_failures);
        let retry = &document.retry;
        self.percent("/retry/budget_percent", retry.budget_percent);
        let attempts = retry.attempts_max;
        let is_count = (1..=ATTEMPTS_MAX).contains(&attempts);
        self.require(is_count, "/retry/attempts_max", attempts, "1 to 10");
        let deadlines = &document.deadlines;
        self.deadline("/deadlines/urgent_ms", deadlines.urgent_ms);
        self.deadline("/deadlines/normal_ms", deadlines.normal_ms);
        self.deadline("/deadlines/batch_ms", deadlines.batch_ms);
        self.deadline("/deadlines/stream_ms", deadlines.stream_ms);
    }

    fn deadline(&mut self, path: &str, millis: u64) {
        let fits = (1..=DEADLINE_MAX_MS).contains(&millis);
        self.require(fits, path, millis, "1 to 86400000 milliseconds");
    }

    fn accounts(&mut self, accounts: &[AccountSpec]) {
        self.require(!accounts.is_empty(), "/accounts", "[]", "at least one");
        for (index, account) in accounts.iter().enumerate() {
            let path = format!("/accounts/{index}");
            self.name(&format!("{path}/name"), &account.name);
            self.digest(&format!("{path}/key_digest"), &account.key_digest);
            self.at_least_one(
                &format!("{path}/requests_per_second"),
                account.requests_per_second,
            );
            self.at_least_one(&format!("{path}/concurrency"), account.concurrency);
            self.at_least_one(&format!("{path}/weight"), account.weight);
            self.percent(&format!("{path}/urgent_percent"), account.urgent_percent);
        }
        self.unique_account_names(accounts);
    }

    fn unique_account_names(&mut self, accounts: &[AccountSpec]) {
        let mut sorted: Vec<usize> = (0..accounts.len()).collect();
        sorted.sort_by_key(|index| (&accounts[*index].name, *index));
        for pair in sorted.windows(2) {
            let (first, second) = (&accounts[pair[0]].name, &accounts[pair[1]].name);
            let path = format!("/accounts/{}/name", pair[1]);
            self.require(first != second, &path, second, "each account only once");
        }
    }

    fn route(&mut self, path: &str, route: &RouteSpec, kind: ServiceKind) {
        let prefix = &route.path_prefix;
        self.require(
            prefix.starts_with('/'),
            &format!("{path}/path_prefix"),
            prefix,
            "a path that begins with /",
        );
        let is_method = |method: &str| {
            !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase())
        };
        let method = route.method.as_deref().unwrap_or("GET");
        let method_path = format!("{path}/method");
        self.require(
            is_method(method),
            &method_path,
            method,
            "a method in capitals",
        );
        self.require(
            kind == ServiceKind::Plain,
            path,
            "a route",
            "no routes: only plain services have them",
        );
    }
}
