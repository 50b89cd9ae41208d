//! Whole answers, and how cut ones end.

use super::fake_host::{FakeHost, HostWay, STREAM, TOKENS, ask, send, start_entry, token};
use crate::documents::ServiceKind;

const COMPLETIONS: &str = "/v1/completions";
const DONE: &str = "data: [DONE]";

/// The tokens in a stream of server-sent events.
fn tokens_of(stream: &str) -> String {
    let lines = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let values = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    values
        .filter_map(|value| value["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

fn whole_text() -> String {
    (0..TOKENS).map(token).collect()
}

/// Symptom: callers got an answer with a gap, or none. Events: the host dies in mid-stream. Cause:
/// nobody went on behind the tokens that the caller had.
#[tokio::test]
async fn a_stream_goes_on_at_another_host() {
    let dies = FakeHost::start("a", HostWay::CutAfter(2), true).await;
    let whole = FakeHost::start("b", HostWay::Whole, false).await;
    let entry = start_entry(ServiceKind::Model, &[&dies, &whole]).await;
    let got = ask(entry, COMPLETIONS, STREAM, &[]).await;
    assert_eq!(got.status, 200);
    assert_eq!(tokens_of(&got.text), whole_text());
    assert!(got.text.contains(DONE));
    assert_eq!(whole.resume_from(), Some(2));
}

/// Symptom: a caller took half a sky briefing for a whole one. Events: the stream breaks off, and no
/// other host can go on. Cause: the answer to the caller ended as a whole one does.
#[tokio::test]
async fn a_cut_stream_ends_in_an_error() {
    let dies = FakeHost::start("a", HostWay::CutAfter(2), true).await;
    let entry = start_entry(ServiceKind::Model, &[&dies]).await;
    let got = ask(entry, COMPLETIONS, STREAM, &[]).await;
    assert!(!got.text.contains(DONE));
    assert!(got.text.contains("\"error\""));
}

#[tokio::test]
async fn a_cut_plain_answer_breaks_off() {
    let dies = FakeHost::start("a", HostWay::CutAfter(2), true).await;
    let entry = start_entry(ServiceKind::Plain, &[&dies]).await;
    let got = ask(entry, "/services/sky-writer/x", "", &[]).await;
    assert_eq!(got.status, 201);
    assert!(!got.is_whole);
}

/// Symptom: one caller read another's answer. Events: frames of an earlier attempt come late on the
/// same stream. Cause: they were not held against the attempt.
#[tokio::test]
async fn frames_of_other_attempts_are_dropped() {
    let crossed = FakeHost::start("a", HostWay::Crossed, true).await;
    let entry = start_entry(ServiceKind::Model, &[&crossed]).await;
    let got = ask(entry, COMPLETIONS, STREAM, &[]).await;
    assert_eq!(tokens_of(&got.text), whole_text());
    assert!(got.text.contains(DONE));
}

/// Symptom: requests hung until their deadline. Events: a connection to a host goes silent for good.
/// Cause: nothing but the deadline ended the wait.
#[tokio::test]
async fn a_silent_connection_is_left_for_another_host() {
    let silent = FakeHost::start("a", HostWay::Silent, true).await;
    let whole = FakeHost::start("b", HostWay::Whole, false).await;
    let entry = start_entry(ServiceKind::Model, &[&silent, &whole]).await;
    let got = ask(entry, COMPLETIONS, STREAM, &[]).await;
    assert_eq!(tokens_of(&got.text), whole_text());
    // An unrepeatable call, too: the silent host says that it has not run.
    let entry = start_entry(ServiceKind::Plain, &[&silent, &whole]).await;
    let got = ask(entry, "/services/sky-writer/once", "", &[]).await;
    assert_eq!((got.status, &*got.run), (201, "run"));
    assert_eq!(got.text, whole_text());
}

/// Symptom: repeatable calls were held until their deadline and then failed. Events: the connection
/// behind the host process goes silent; the host process itself is alive. Cause: its being alive was
/// taken for progress.
#[tokio::test]
async fn a_host_that_is_only_alive_does_not_hold_a_repeatable_request() {
    let stuck = FakeHost::start("a", HostWay::OnlyAlive, true).await;
    let whole = FakeHost::start("b", HostWay::Whole, false).await;
    let entry = start_entry(ServiceKind::Plain, &[&stuck, &whole]).await;
    let deadline = [("savory-deadline-ms", "3000")];
    let got = ask(entry, "/services/sky-writer/again", "", &deadline).await;
    assert_eq!((got.status, got.text), (201, whole_text()));
    assert_eq!((stuck.order_count(), whole.order_count()), (1, 1));
}

#[tokio::test]
async fn the_host_learns_that_the_caller_has_left() {
    let mut stuck = FakeHost::start("a", HostWay::OnlyAlive, true).await;
    let entry = start_entry(ServiceKind::Model, &[&stuck]).await;
    let asking = tokio::spawn(async move {
        send(entry, COMPLETIONS, STREAM, &[]).await;
    });
    while stuck.order_count() == 0 {
        tokio::task::yield_now().await;
    }
    asking.abort();
    let noticed = stuck.left.wait_for(|left| *left == 1).await;
    assert!(noticed.is_ok());
}
