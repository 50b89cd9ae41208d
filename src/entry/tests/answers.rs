//! Tests of complete answers, and of answers that are interrupted at a host.

use super::fake_host::{
    FakeHost, HostBehaviour, STREAM_BODY, TOKENS, call, send, start_entry, token,
};
use crate::documents::ServiceKind;

const COMPLETIONS: &str = "/v1/completions";
const DONE_EVENT: &str = "data: [DONE]";

/// Joins the tokens of a stream of server-sent events.
fn tokens_of(stream: &str) -> String {
    let lines = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let values = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    values
        .filter_map(|value| value["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

fn complete_text() -> String {
    (0..TOKENS).map(token).collect()
}

/// Guards against answers that are lost or have a gap when a host fails in mid-stream: another host
/// has to resume after the last token that the caller has received.
#[tokio::test]
async fn an_interrupted_stream_resumes_at_another_host() {
    let failing = FakeHost::start("a", HostBehaviour::CutAfter(2), true).await;
    let healthy = FakeHost::start("b", HostBehaviour::Complete, false).await;
    let entry = start_entry(ServiceKind::Model, &[&failing, &healthy]).await;
    let response = call(entry, COMPLETIONS, STREAM_BODY, &[]).await;
    assert_eq!(response.status, 200);
    assert_eq!(tokens_of(&response.text), complete_text());
    assert!(response.text.contains(DONE_EVENT));
    assert_eq!(healthy.resume_from(), Some(2));
}

/// Guards against callers that mistake a truncated answer for a complete one: if a stream is
/// interrupted and no other host can resume it, it must not end as a complete one does.
#[tokio::test]
async fn an_interrupted_stream_without_another_host_ends_in_an_error() {
    let failing = FakeHost::start("a", HostBehaviour::CutAfter(2), true).await;
    let entry = start_entry(ServiceKind::Model, &[&failing]).await;
    let response = call(entry, COMPLETIONS, STREAM_BODY, &[]).await;
    assert!(!response.text.contains(DONE_EVENT));
    assert!(response.text.contains("\"error\""));
}

#[tokio::test]
async fn an_interrupted_plain_answer_aborts_the_body() {
    let failing = FakeHost::start("a", HostBehaviour::CutAfter(2), true).await;
    let entry = start_entry(ServiceKind::Plain, &[&failing]).await;
    let response = call(entry, "/services/sky-writer/x", "", &[]).await;
    assert_eq!(response.status, 201);
    assert!(!response.is_complete);
}

/// Guards against callers that get parts of another caller's answer: frames of an earlier attempt
/// that arrive late on the same stream have to be recognised by their attempt id.
#[tokio::test]
async fn frames_of_other_attempts_are_dropped() {
    let host = FakeHost::start("a", HostBehaviour::MixedAttempts, true).await;
    let entry = start_entry(ServiceKind::Model, &[&host]).await;
    let response = call(entry, COMPLETIONS, STREAM_BODY, &[]).await;
    assert_eq!(tokens_of(&response.text), complete_text());
    assert!(response.text.contains(DONE_EVENT));
}

/// Guards against requests that hang until their deadline because the connection to their host has
/// stopped delivering data.
#[tokio::test]
async fn a_request_moves_from_an_unresponsive_connection_to_another_host() {
    let silent = FakeHost::start("a", HostBehaviour::Silent, true).await;
    let healthy = FakeHost::start("b", HostBehaviour::Complete, false).await;
    let entry = start_entry(ServiceKind::Model, &[&silent, &healthy]).await;
    let response = call(entry, COMPLETIONS, STREAM_BODY, &[]).await;
    assert_eq!(tokens_of(&response.text), complete_text());
    // An unrepeatable call may move as well, because the silent host reports, when queried, that
    // the call did not run.
    let entry = start_entry(ServiceKind::Plain, &[&silent, &healthy]).await;
    let response = call(entry, "/services/sky-writer/once", "", &[]).await;
    assert_eq!((response.status, &*response.run), (201, "run"));
    assert_eq!(response.text, complete_text());
}

/// Guards against repeatable calls that wait until their deadline and then fail: the connection
/// from the host process to its backend server stops delivering data, while the host process still
/// sends keep-alive frames. These frames must not count as progress.
#[tokio::test]
async fn keep_alive_frames_alone_do_not_delay_a_repeatable_call() {
    let stalled = FakeHost::start("a", HostBehaviour::AliveOnly, true).await;
    let healthy = FakeHost::start("b", HostBehaviour::Complete, false).await;
    let entry = start_entry(ServiceKind::Plain, &[&stalled, &healthy]).await;
    let deadline = [("savory-deadline-ms", "3000")];
    let response = call(entry, "/services/sky-writer/again", "", &deadline).await;
    assert_eq!((response.status, response.text), (201, complete_text()));
    assert_eq!((stalled.order_count(), healthy.order_count()), (1, 1));
}

#[tokio::test]
async fn the_host_is_notified_when_the_caller_disconnects() {
    let mut stalled = FakeHost::start("a", HostBehaviour::AliveOnly, true).await;
    let entry = start_entry(ServiceKind::Model, &[&stalled]).await;
    let caller = tokio::spawn(async move {
        send(entry, COMPLETIONS, STREAM_BODY, &[]).await;
    });
    while stalled.order_count() == 0 {
        tokio::task::yield_now().await;
    }
    caller.abort();
    let notified = stalled.disconnects.wait_for(|count| *count == 1).await;
    assert!(notified.is_ok());
}
