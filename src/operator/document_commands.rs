//! The subcommands of `savoryctl document`.

use std::fs;
use std::time::Duration;

use clap::ArgMatches;
use http::Method;
use serde_json::Value;
use tokio::time::sleep;

use super::admin_client::{AdminClient, AdminFailure, AdminRequest, ChangeIdentity};
use super::command::text;
use super::messages::{DocumentReply, HistoryReply, PutReply, StateReply};
use super::run_command::{client_of, print_json, show};
use super::text_table::{cell, print_table};
use crate::documents::{DocumentFault, check_document};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::clock_now;

const WATCH_PAUSE: Duration = Duration::from_millis(200);

fn read_file(matches: &ArgMatches) -> SwitchResult<Vec<u8>> {
    let file = text(matches, "file");
    fs::read(&file).map_err(|fault| {
        SwitchError::new(
            ErrorKind::BadRequest,
            format!("cannot read {file}: {fault}"),
        )
    })
}

fn invalid(faults: Vec<DocumentFault>) -> AdminFailure {
    let detail = format!("{} faults", faults.len());
    let mut failure: AdminFailure = SwitchError::new(ErrorKind::DocumentInvalid, detail).into();
    failure.faults.faults = faults;
    failure
}

pub(super) fn check_file(matches: &ArgMatches, is_json: bool) -> Result<(), AdminFailure> {
    let (_, document) = check_document(&read_file(matches)?).map_err(invalid)?;
    if is_json {
        print_json(&serde_json::json!({ "service": &*document.service, "faults": [] }));
    } else {
        println!("{}: no faults", document.service);
    }
    Ok(())
}

pub(super) async fn put_document(
    matches: &ArgMatches,
    put: &ArgMatches,
    is_json: bool,
) -> Result<(), AdminFailure> {
    let body = read_file(put)?;
    let (_, document) = check_document(&body).map_err(invalid)?;
    let replaces = put.get_one::<u64>("replaces").copied().unwrap_or_default();
    // A nonce given by the author is that of an earlier attempt, whose outcome is unknown.
    let (nonce, uncertain_attempts) = match text(put, "nonce") {
        given if given.is_empty() => (uuid::Uuid::new_v4().to_string(), 0),
        given => (given, 1),
    };
    let author = match text(put, "author") {
        given if given.is_empty() => "unnamed".to_owned(),
        given => given,
    };
    let request = AdminRequest {
        method: Method::PUT,
        path: format!(
            "/admin/v1/documents/{}?replaces={replaces}",
            document.service
        ),
        body: body.into(),
        change: Some(ChangeIdentity {
            author,
            nonce: nonce.clone(),
            uncertain_attempts,
        }),
    };
    let reply: Result<PutReply, AdminFailure> = client_of(matches)?.send(&request).await;
    match reply {
        Ok(reply) if is_json => print_json(&reply),
        Ok(reply) => println!("{}: version {} accepted", reply.service, reply.version),
        Err(mut failure) => {
            if failure.error.kind == ErrorKind::DocumentInDoubt {
                failure.error.detail = format!(
                    "{}; to settle the outcome, repeat the command with --nonce {nonce}",
                    failure.error.detail
                );
            }
            return Err(failure);
        }
    }
    Ok(())
}

async fn fetch_current(matches: &ArgMatches, service: &str) -> Result<DocumentReply, AdminFailure> {
    let request = AdminRequest::get(format!("/admin/v1/documents/{service}"));
    client_of(matches)?.send(&request).await
}

pub(super) async fn get_document(
    matches: &ArgMatches,
    get: &ArgMatches,
) -> Result<(), AdminFailure> {
    let reply = fetch_current(matches, &text(get, "service")).await?;
    if matches.get_flag("json") {
        print_json(&reply);
        return Ok(());
    }
    eprintln!("version {}, changed by {}", reply.version, reply.changed_by);
    if !reply.from_table {
        eprintln!("the table is unavailable; this is the version in force on the responding host");
    }
    for path in &reply.unknown {
        eprintln!("{path}: unknown to the responding entry host; it has no effect there");
    }
    print_json(&reply.document);
    Ok(())
}

pub(super) async fn diff_document(
    matches: &ArgMatches,
    diff: &ArgMatches,
    is_json: bool,
) -> Result<(), AdminFailure> {
    let (given, document) = check_document(&read_file(diff)?).map_err(invalid)?;
    let reply = fetch_current(matches, &document.service).await?;
    let mut rows = Vec::new();
    collect_differences(&reply.document, &given, "", &mut rows);
    if is_json {
        let lines: Vec<Value> = rows
            .iter()
            .map(|row| serde_json::json!({ "path": row[0], "stands": row[1], "given": row[2] }))
            .collect();
        print_json(&lines);
    } else if rows.is_empty() {
        println!("no difference to version {}", reply.version);
    } else {
        print_table(&["PATH", "STANDS", "GIVEN"], &rows);
    }
    Ok(())
}

fn collect_differences(current: &Value, given: &Value, path: &str, rows: &mut Vec<Vec<String>>) {
    match (current, given) {
        (Value::Object(left), Value::Object(right)) => {
            let mut names: Vec<&String> = left.keys().chain(right.keys()).collect();
            names.sort_unstable();
            names.dedup();
            for name in names {
                let (left, right) = (&left.get(name), &right.get(name));
                let none = &Value::Null;
                let field_path = format!("{path}/{name}");
                collect_differences(
                    left.unwrap_or(none),
                    right.unwrap_or(none),
                    &field_path,
                    rows,
                );
            }
        }
        (Value::Array(left), Value::Array(right)) if left.len() == right.len() => {
            for (index, (left, right)) in left.iter().zip(right).enumerate() {
                collect_differences(left, right, &format!("{path}/{index}"), rows);
            }
        }
        (current, given) if current != given => {
            rows.push(vec![
                path.to_owned(),
                current.to_string(),
                given.to_string(),
            ]);
        }
        _ => {}
    }
}

pub(super) async fn show_history(
    matches: &ArgMatches,
    history: &ArgMatches,
    is_json: bool,
) -> Result<(), AdminFailure> {
    let service = text(history, "service");
    let request = AdminRequest::get(format!("/admin/v1/documents/{service}/history"));
    let reply: HistoryReply = client_of(matches)?.send(&request).await?;
    show(&reply, is_json, |reply| {
        let rows: Vec<Vec<String>> = reply.versions.iter().map(history_row).collect();
        print_table(&["VERSION", "CHANGED (UNIX MS)", "BY", "WEIGHTS"], &rows);
    });
    Ok(())
}

fn history_row(reply: &DocumentReply) -> Vec<String> {
    let weights = reply.document.pointer("/weights/version");
    vec![
        reply.version.to_string(),
        reply.changed_wall_ms.to_string(),
        reply.changed_by.clone(),
        cell(weights.and_then(Value::as_str).map(str::to_owned).as_ref()),
    ]
}

/// Prints the version in force on each entry host whenever one changes, until all have the target
/// version or the time limit has passed.
pub(super) async fn watch_document(
    matches: &ArgMatches,
    watch: &ArgMatches,
    is_json: bool,
) -> Result<(), AdminFailure> {
    let service = text(watch, "service");
    let until = watch.get_one::<u64>("until").copied();
    let within = watch.get_one::<u64>("within").copied().unwrap_or(30);
    let client = client_of(matches)?;
    let started = clock_now();
    let mut shown = Vec::new();
    loop {
        let versions = versions_in_force(&client, &service).await;
        if versions != shown {
            print_versions(&client, &versions, is_json);
            shown.clone_from(&versions);
        }
        let target = until.unwrap_or(u64::MAX);
        if versions
            .iter()
            .all(|version| version.is_some_and(|version| version >= target))
        {
            return Ok(());
        }
        if clock_now().since(started) >= Duration::from_secs(within) {
            let detail = format!("not in force on every entry host after {within} s");
            let is_failure = until.is_some();
            return if is_failure {
                Err(SwitchError::new(ErrorKind::DeadlinePassed, detail).into())
            } else {
                Ok(())
            };
        }
        sleep(WATCH_PAUSE).await;
    }
}

async fn versions_in_force(client: &AdminClient, service: &str) -> Vec<Option<u64>> {
    let mut versions = Vec::new();
    for address in &client.addresses {
        let request = AdminRequest::get("/admin/v1/state");
        let reply: Result<StateReply, AdminFailure> = client.send_to(*address, &request).await;
        let version = reply.ok().map(|reply| {
            let summary = reply
                .services
                .iter()
                .find(|summary| summary.service == service);
            summary.map_or(0, |summary| summary.version)
        });
        versions.push(version);
    }
    versions
}

fn print_versions(client: &AdminClient, versions: &[Option<u64>], is_json: bool) {
    let pairs = client.addresses.iter().zip(versions);
    if is_json {
        let lines: Vec<Value> = pairs
            .map(|(address, version)| {
                serde_json::json!({ "address": address.to_string(), "version": version })
            })
            .collect();
        println!("{}", Value::Array(lines));
    } else {
        let cells: Vec<String> = pairs
            .map(|(address, version)| match version {
                Some(version) => format!("{address} {version}"),
                None => format!("{address} away"),
            })
            .collect();
        println!("{}", cells.join("   "));
    }
}
