//! Names of the platform's header fields and sample rows of its store, for the lab and for tests in
//! other folders, so that only this folder depends on the platform's formats.

#[cfg(test)]
use std::net::SocketAddr;

#[cfg(test)]
use crate::fleet::BackendPhase;

/// Identifies the client's attempt.
pub(crate) const ATTEMPT: &str = "savoryswitch-attempt-id";
/// The milliseconds left until the deadline of the client or backend server.
pub(crate) const DEADLINE: &str = "savoryswitch-deadline-ms";
/// A backend server's seal on its response.
pub(crate) const SEAL: &str = "savoryswitch-response-seal";
/// Present if the backend server did not run the request.
pub(crate) const NOT_RUN: &str = "savoryswitch-not-executed";
/// The id of the backend server that responds.
pub(crate) const BACKEND_ID: &str = "savoryswitch-instance-id";
/// The version of weights that must serve the request.
pub(crate) const EXPECTED_VERSION: &str = "savoryswitch-expected-version";
/// The version of weights that served the request.
pub(crate) const VERSIONS: &str = "savoryswitch-weight-versions";
/// The requested model.
pub(crate) const MODEL: &str = "savoryswitch-model";
/// The tokens of the prompt, and the most output tokens.
pub(crate) const TOKENS: &str = "savoryswitch-token-usage";
/// The parts of the prompt, as `ID:TOKENS` entries.
pub(crate) const PROMPT_PARTS: &str = "savoryswitch-prompt-prefix";
/// The last stream event that the client received.
pub(crate) const LAST_EVENT: &str = "last-event-id";
/// The id of the addressed backend server.
pub(crate) const TARGET_ID: &str = "savoryswitch-target-instance";
/// The advertised limit of a backend server in requests per second, for all entry hosts together.
#[cfg(test)]
pub(crate) const RATE_LIMIT: &str = "server-limit";
/// Present in the responses of a backend server that is leaving.
pub(crate) const LEAVING: &str = "server-leaving";
/// The client account.
pub(crate) const ACCOUNT: &str = "savoryswitch-tenant";

/// The key and text of an operator's document that has only a version.
pub(crate) fn document_sample(version: u64) -> (&'static str, String) {
    ("config", format!("{{\"version\":{version}}}"))
}

/// The key and text of the row that sets `version` as the target of the model `m`.
pub(crate) fn target_sample(version: u64) -> (&'static str, String) {
    let text = format!("{{\"model\":\"m\",\"version\":{version}}}");
    ("version/m", text)
}

/// The key of the row that evacuates `data_centre`.
pub(crate) fn evacuation_key(data_centre: &str) -> String {
    format!("evacuate/{data_centre}")
}

/// The entry of a serving backend server.
#[cfg(test)]
pub(crate) fn backend_sample() -> String {
    let fields = "\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":1";
    format!("{{{fields},\"state\":\"ready\"}}")
}

/// The entry of a backend server in `phase`, with `sequence` and, if given, the start of the
/// incarnation `start_time` in Unix milliseconds.
#[cfg(test)]
pub(crate) fn entry_sample(start_time: Option<u64>, sequence: u64, phase: BackendPhase) -> String {
    let state = state_text(phase);
    let fields = "\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":1";
    let start_time_field =
        start_time.map_or_else(String::new, |start_time| format!(",\"born\":{start_time}"));
    format!("{{{fields},\"state\":\"{state}\",\"sequence\":{sequence}{start_time_field}}}")
}

/// As [`entry_sample`], at `address` and with all 16 layers of `version` of the model `m` loaded,
/// or with no layers if `version` is 0.
#[cfg(test)]
pub(crate) fn loaded_entry_sample(
    (address, start_time): (SocketAddr, u64),
    sequence: u64,
    phase: BackendPhase,
    version: u64,
) -> String {
    let state = state_text(phase);
    let holdings = if version == 0 {
        String::from("\"models\":[],\"layers\":[]")
    } else {
        format!(
            "\"models\":[{{\"name\":\"m\",\"version\":{version}}}],\
             \"layers\":[{{\"from\":0,\"to\":16,\"version\":{version}}}]"
        )
    };
    let location =
        format!("\"service\":\"s\",\"address\":\"{address}\",\"zone\":\"z\",\"slots\":4");
    let status = format!("\"state\":\"{state}\",\"sequence\":{sequence},\"born\":{start_time}");
    format!("{{{location},{status},{holdings}}}")
}

/// The entry of a serving backend server without an engine, with the start of the incarnation
/// `start_time` in Unix milliseconds.
#[cfg(test)]
pub(crate) fn plain_entry_sample((address, start_time): (SocketAddr, u64)) -> String {
    let location = format!("\"service\":\"plain\",\"address\":\"{address}\",\"zone\":\"hall-a\"");
    format!("{{{location},\"slots\":16,\"state\":\"ready\",\"sequence\":1,\"born\":{start_time}}}")
}

#[cfg(test)]
const fn state_text(phase: BackendPhase) -> &'static str {
    match phase {
        BackendPhase::Serving => "ready",
        BackendPhase::Leaving => "draining",
    }
}
