//! The platform's words for the lab and for tests in other folders, so that these need not know them.

#[cfg(test)]
use std::net::SocketAddr;

#[cfg(test)]
use crate::fleet::BackendPhase;

/// The name of the client's attempt.
pub(crate) const ATTEMPT: &str = "savoryswitch-attempt-id";
/// How long the client, or a backend server, has.
pub(crate) const DEADLINE: &str = "savoryswitch-deadline-ms";
/// A backend server's mark on its answer.
pub(crate) const SEAL: &str = "savoryswitch-response-seal";
/// Says that the backend server did not run the request.
pub(crate) const NOT_RUN: &str = "savoryswitch-not-executed";
/// The backend server that answers.
pub(crate) const BACKEND_ID: &str = "savoryswitch-instance-id";
/// The version of weights that the request needs.
pub(crate) const EXPECTED_VERSION: &str = "savoryswitch-expected-version";
/// The version of weights that answers.
pub(crate) const VERSIONS: &str = "savoryswitch-weight-versions";
/// The model that the request is for.
pub(crate) const MODEL: &str = "savoryswitch-model";
/// Tokens of the prompt, and of the answer at most.
pub(crate) const TOKENS: &str = "savoryswitch-token-usage";
/// The last event of a stream that the client has.
pub(crate) const LAST_EVENT: &str = "last-event-id";
/// The backend server that is meant.
pub(crate) const TARGET_ID: &str = "savoryswitch-target-instance";
/// How many requests a second a backend server takes from all entry hosts together.
#[cfg(test)]
pub(crate) const RATE_LIMIT: &str = "server-limit";
/// The client account.
pub(crate) const ACCOUNT: &str = "savoryswitch-tenant";

/// The key and the text of the operator's document with nothing but a version.
pub(crate) fn document_sample(version: u64) -> (&'static str, String) {
    ("config", format!("{{\"version\":{version}}}"))
}

/// The key and the text of the row that names a version of the model `m`.
pub(crate) fn target_sample(version: u64) -> (&'static str, String) {
    let text = format!("{{\"model\":\"m\",\"version\":{version}}}");
    ("version/m", text)
}

/// The text of a serving backend server's entry.
#[cfg(test)]
pub(crate) fn backend_sample() -> String {
    let fields = "\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":1";
    format!("{{{fields},\"state\":\"ready\"}}")
}

/// The text of a backend server's entry of the incarnation that started at `born`, its `told`th, in
/// `phase`.
#[cfg(test)]
pub(crate) fn entry_sample(born: Option<u64>, told: u64, phase: BackendPhase) -> String {
    let state = state_word(phase);
    let fields = "\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":1";
    let born = born.map_or_else(String::new, |born| format!(",\"born\":{born}"));
    format!("{{{fields},\"state\":\"{state}\",\"sequence\":{told}{born}}}")
}

/// [`entry_sample`] at `address`, with all 16 layers of `version` of the model `m`; with none for 0.
#[cfg(test)]
pub(crate) fn loaded_entry_sample(
    (address, born): (SocketAddr, u64),
    told: u64,
    phase: BackendPhase,
    version: u64,
) -> String {
    let state = state_word(phase);
    let held = if version == 0 {
        String::from("\"models\":[],\"layers\":[]")
    } else {
        format!(
            "\"models\":[{{\"name\":\"m\",\"version\":{version}}}],\
             \"layers\":[{{\"from\":0,\"to\":16,\"version\":{version}}}]"
        )
    };
    let place = format!("\"service\":\"s\",\"address\":\"{address}\",\"zone\":\"z\",\"slots\":4");
    let telling = format!("\"state\":\"{state}\",\"sequence\":{told},\"born\":{born}");
    format!("{{{place},{telling},{held}}}")
}

/// The text of the entry of a serving backend server without an engine, of the incarnation that started at
/// `born`.
#[cfg(test)]
pub(crate) fn plain_entry_sample((address, born): (SocketAddr, u64)) -> String {
    let place = format!("\"service\":\"plain\",\"address\":\"{address}\",\"zone\":\"hall-a\"");
    format!("{{{place},\"slots\":16,\"state\":\"ready\",\"sequence\":1,\"born\":{born}}}")
}

#[cfg(test)]
const fn state_word(phase: BackendPhase) -> &'static str {
    match phase {
        BackendPhase::Serving => "ready",
        BackendPhase::Leaving => "draining",
    }
}
