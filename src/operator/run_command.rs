//! Carries out the commands of `savoryctl`.

use std::fs;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use http::Method;
use serde::Serialize;
use serde_json::Value;
use tokio::time::sleep;

use super::admin_client::{AdminCall, AdminClient, AdminFailure, ChangeName};
use super::command::text;
use super::messages::{
    DocumentReply, HistoryReply, HostsReply, PutReply, RequestsReply, StateReply,
};
use super::tables::{cell, print_table};
use super::views::{show_document_faults, show_hosts, show_requests, show_state, show_weights};
use crate::documents::{DocumentFault, KeyDigest, check_document, json_schema};
use crate::errors::{ErrorKind, SwitchError, SwitchResult, answer_for};
use crate::time::clock_now;

const EXIT_WRONG_USE: u8 = 2;
const EXIT_IN_DOUBT: u8 = 3;
const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// Carries out the command in `matches`.
pub(super) async fn run_command(matches: &ArgMatches) -> ExitCode {
    let is_json = matches.get_flag("json");
    match carry_out(matches, is_json).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            tell_failure(&failure, is_json);
            match failure.error.kind {
                ErrorKind::DocumentInDoubt => ExitCode::from(EXIT_IN_DOUBT),
                ErrorKind::SettingInvalid => ExitCode::from(EXIT_WRONG_USE),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

async fn carry_out(matches: &ArgMatches, is_json: bool) -> Result<(), AdminFailure> {
    match matches.subcommand() {
        Some(("document", document)) => match document.subcommand() {
            Some(("check", check)) => check_file(check, is_json),
            Some(("schema", _)) => {
                print_json(&json_schema());
                Ok(())
            }
            Some(("put", put)) => put_document(matches, put, is_json).await,
            Some(("get", get)) => get_document(matches, get).await,
            Some(("diff", diff)) => diff_document(matches, diff, is_json).await,
            Some(("history", history)) => show_history(matches, history, is_json).await,
            Some(("watch", watch)) => watch_document(matches, watch, is_json).await,
            _ => Ok(()),
        },
        Some(("digest", _)) => {
            let digest = KeyDigest::of_key(read_key(matches)?.as_bytes());
            println!("{}", digest.hex());
            Ok(())
        }
        Some((view, _)) => show_view(matches, view, is_json).await,
        None => Ok(()),
    }
}

async fn show_view(matches: &ArgMatches, view: &str, is_json: bool) -> Result<(), AdminFailure> {
    let client = client_of(matches)?;
    match view {
        "state" => {
            let reply: StateReply = client.ask(&AdminCall::get("/admin/v1/state")).await?;
            show(&reply, is_json, show_state);
        }
        "requests" => {
            let reply: RequestsReply = client.ask(&AdminCall::get("/admin/v1/requests")).await?;
            show(&reply, is_json, show_requests);
        }
        _ => {
            let reply: HostsReply = client.ask(&AdminCall::get("/admin/v1/hosts")).await?;
            let table = if view == "weights" {
                show_weights
            } else {
                show_hosts
            };
            show(&reply, is_json, table);
        }
    }
    Ok(())
}

fn show<T: Serialize>(reply: &T, is_json: bool, table: fn(&T)) {
    if is_json {
        print_json(reply);
    } else {
        table(reply);
    }
}

fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(fault) => eprintln!("savoryctl: {fault}"),
    }
}

fn client_of(matches: &ArgMatches) -> SwitchResult<AdminClient> {
    let given = text(matches, "admin-address");
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for part in given.split(',').filter(|part| !part.is_empty()) {
        let address = part.trim().parse().map_err(|fault| {
            setting(format!(
                "--admin-address: \"{part}\" does not read as IP:PORT: {fault}"
            ))
        })?;
        addresses.push(address);
    }
    if addresses.is_empty() {
        let detail =
            "--admin-address: not given; give IP:PORT of entry hosts (or set SAVORY_ADMIN_ADDRESS)";
        return Err(setting(detail.to_owned()));
    }
    Ok(AdminClient::new(addresses, read_key(matches)?))
}

fn read_key(matches: &ArgMatches) -> SwitchResult<String> {
    let file = text(matches, "key-file");
    if file.is_empty() {
        let detail =
            "--key-file: not given; give a file that holds your key (or set SAVORY_KEY_FILE)";
        return Err(setting(detail.to_owned()));
    }
    let key = fs::read_to_string(&file)
        .map_err(|fault| setting(format!("--key-file: cannot read {file}: {fault}")))?;
    let key = key.trim();
    if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        let detail = format!("--key-file: {file} holds no key; give one line of letters and signs");
        return Err(setting(detail));
    }
    Ok(key.to_owned())
}

fn setting(detail: String) -> SwitchError {
    SwitchError::new(ErrorKind::SettingInvalid, detail)
}

fn read_document(matches: &ArgMatches) -> SwitchResult<Vec<u8>> {
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

fn check_file(matches: &ArgMatches, is_json: bool) -> Result<(), AdminFailure> {
    let (_, document) = check_document(&read_document(matches)?).map_err(invalid)?;
    if is_json {
        print_json(&serde_json::json!({ "service": &*document.service, "faults": [] }));
    } else {
        println!("{}: no faults", document.service);
    }
    Ok(())
}

async fn put_document(
    matches: &ArgMatches,
    put: &ArgMatches,
    is_json: bool,
) -> Result<(), AdminFailure> {
    let body = read_document(put)?;
    let (_, document) = check_document(&body).map_err(invalid)?;
    let replaces = put.get_one::<u64>("replaces").copied().unwrap_or_default();
    // A name that the author gives is that of an earlier try.
    let (nonce, doubts) = match text(put, "nonce") {
        given if given.is_empty() => (uuid::Uuid::new_v4().to_string(), 0),
        given => (given, 1),
    };
    let author = match text(put, "author") {
        given if given.is_empty() => "unnamed".to_owned(),
        given => given,
    };
    let call = AdminCall {
        method: Method::PUT,
        path: format!(
            "/admin/v1/documents/{}?replaces={replaces}",
            document.service
        ),
        body: body.into(),
        change: Some(ChangeName {
            author,
            nonce: nonce.clone(),
            doubts,
        }),
    };
    let reply: Result<PutReply, AdminFailure> = client_of(matches)?.ask(&call).await;
    match reply {
        Ok(reply) if is_json => print_json(&reply),
        Ok(reply) => println!("{}: version {} accepted", reply.service, reply.version),
        Err(mut failure) => {
            if failure.error.kind == ErrorKind::DocumentInDoubt {
                failure.error.detail = format!(
                    "{}; settle it by the same command with --nonce {nonce}",
                    failure.error.detail
                );
            }
            return Err(failure);
        }
    }
    Ok(())
}

async fn standing(matches: &ArgMatches, service: &str) -> Result<DocumentReply, AdminFailure> {
    let call = AdminCall::get(format!("/admin/v1/documents/{service}"));
    client_of(matches)?.ask(&call).await
}

async fn get_document(matches: &ArgMatches, get: &ArgMatches) -> Result<(), AdminFailure> {
    let reply = standing(matches, &text(get, "service")).await?;
    if matches.get_flag("json") {
        print_json(&reply);
        return Ok(());
    }
    eprintln!("version {}, changed by {}", reply.version, reply.changed_by);
    if !reply.from_table {
        eprintln!("the table is away: this is what is in force on the entry host that answered");
    }
    for path in &reply.unknown {
        eprintln!("{path}: unknown to the entry host that answered; it has no effect there");
    }
    print_json(&reply.document);
    Ok(())
}

async fn diff_document(
    matches: &ArgMatches,
    diff: &ArgMatches,
    is_json: bool,
) -> Result<(), AdminFailure> {
    let (wanted, document) = check_document(&read_document(diff)?).map_err(invalid)?;
    let reply = standing(matches, &document.service).await?;
    let mut rows = Vec::new();
    differences(&reply.document, &wanted, "", &mut rows);
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

fn differences(stands: &Value, given: &Value, path: &str, rows: &mut Vec<Vec<String>>) {
    match (stands, given) {
        (Value::Object(left), Value::Object(right)) => {
            let mut names: Vec<&String> = left.keys().chain(right.keys()).collect();
            names.sort_unstable();
            names.dedup();
            for name in names {
                let (left, right) = (&left.get(name), &right.get(name));
                let none = &Value::Null;
                let place = format!("{path}/{name}");
                differences(left.unwrap_or(none), right.unwrap_or(none), &place, rows);
            }
        }
        (Value::Array(left), Value::Array(right)) if left.len() == right.len() => {
            for (index, (left, right)) in left.iter().zip(right).enumerate() {
                differences(left, right, &format!("{path}/{index}"), rows);
            }
        }
        (stands, given) if stands != given => {
            rows.push(vec![path.to_owned(), stands.to_string(), given.to_string()]);
        }
        _ => {}
    }
}

async fn show_history(
    matches: &ArgMatches,
    history: &ArgMatches,
    is_json: bool,
) -> Result<(), AdminFailure> {
    let service = text(history, "service");
    let call = AdminCall::get(format!("/admin/v1/documents/{service}/history"));
    let reply: HistoryReply = client_of(matches)?.ask(&call).await?;
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

/// Shows the version in force on each entry host until all have the wanted one.
async fn watch_document(
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
            tell_versions(&client, &versions, is_json);
            shown.clone_from(&versions);
        }
        let wanted = until.unwrap_or(u64::MAX);
        if versions
            .iter()
            .all(|version| version.is_some_and(|version| version >= wanted))
        {
            return Ok(());
        }
        if clock_now().since(started) >= Duration::from_secs(within) {
            let detail = format!("not everywhere in force after {within} s");
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
        let call = AdminCall::get("/admin/v1/state");
        let reply: Result<StateReply, AdminFailure> = client.ask_at(*address, &call).await;
        let version = reply.ok().map(|reply| {
            let line = reply.services.iter().find(|line| line.service == service);
            line.map_or(0, |line| line.version)
        });
        versions.push(version);
    }
    versions
}

fn tell_versions(client: &AdminClient, versions: &[Option<u64>], is_json: bool) {
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

fn tell_failure(failure: &AdminFailure, is_json: bool) {
    let code = answer_for(failure.error.kind).code;
    if is_json {
        print_json(&serde_json::json!({
            "error": { "code": code, "message": failure.error.detail },
            "faults": failure.faults.faults,
            "standing": failure.standing.as_ref().and_then(|reply| reply.standing.as_ref()),
        }));
        return;
    }
    eprintln!(
        "savoryctl: {}: {}",
        answer_for(failure.error.kind).text,
        failure.error.detail
    );
    show_document_faults(&failure.faults);
    if let Some(standing) = failure
        .standing
        .as_ref()
        .and_then(|reply| reply.standing.as_ref())
    {
        eprintln!(
            "version {} stands, changed by {} at {} (Unix ms); get it, merge, and put again",
            standing.version, standing.changed_by, standing.changed_wall_ms
        );
    }
}
