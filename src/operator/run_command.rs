//! Runs the commands of `savoryctl`.

use std::fs;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::ArgMatches;
use serde::Serialize;

use super::admin_client::{AdminClient, AdminFailure, AdminRequest};
use super::command::text;
use super::document_commands::{
    check_file, diff_document, get_document, put_document, show_history, watch_document,
};
use super::messages::{HostsReply, RequestsReply, StateReply};
use super::reply_tables::{
    show_document_faults, show_hosts, show_requests, show_state, show_weights,
};
use crate::documents::{KeyDigest, json_schema};
use crate::errors::{ErrorKind, SwitchError, SwitchResult, error_spec};

const EXIT_WRONG_USAGE: u8 = 2;
const EXIT_UNKNOWN_OUTCOME: u8 = 3;

/// Runs the command in `matches`.
pub(super) async fn run_command(matches: &ArgMatches) -> ExitCode {
    let is_json = matches.get_flag("json");
    match execute(matches, is_json).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            print_failure(&failure, is_json);
            match failure.error.kind {
                ErrorKind::DocumentInDoubt => ExitCode::from(EXIT_UNKNOWN_OUTCOME),
                ErrorKind::SettingInvalid => ExitCode::from(EXIT_WRONG_USAGE),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

async fn execute(matches: &ArgMatches, is_json: bool) -> Result<(), AdminFailure> {
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
            let reply: StateReply = client.send(&AdminRequest::get("/admin/v1/state")).await?;
            show(&reply, is_json, show_state);
        }
        "requests" => {
            let reply: RequestsReply = client
                .send(&AdminRequest::get("/admin/v1/requests"))
                .await?;
            show(&reply, is_json, show_requests);
        }
        _ => {
            let reply: HostsReply = client.send(&AdminRequest::get("/admin/v1/hosts")).await?;
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

pub(super) fn show<T: Serialize>(reply: &T, is_json: bool, table: fn(&T)) {
    if is_json {
        print_json(reply);
    } else {
        table(reply);
    }
}

pub(super) fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(fault) => eprintln!("savoryctl: {fault}"),
    }
}

pub(super) fn client_of(matches: &ArgMatches) -> SwitchResult<AdminClient> {
    let given = text(matches, "admin-address");
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for part in given.split(',').filter(|part| !part.is_empty()) {
        let address = part.trim().parse().map_err(|fault| {
            invalid_setting(format!(
                "--admin-address: \"{part}\" is not a valid IP:PORT: {fault}"
            ))
        })?;
        addresses.push(address);
    }
    if addresses.is_empty() {
        let detail =
            "--admin-address: not given; give IP:PORT of entry hosts (or set SAVORY_ADMIN_ADDRESS)";
        return Err(invalid_setting(detail.to_owned()));
    }
    Ok(AdminClient::new(addresses, read_key(matches)?))
}

fn read_key(matches: &ArgMatches) -> SwitchResult<String> {
    let file = text(matches, "key-file");
    if file.is_empty() {
        let detail =
            "--key-file: not given; give a file that holds your key (or set SAVORY_KEY_FILE)";
        return Err(invalid_setting(detail.to_owned()));
    }
    let key = fs::read_to_string(&file)
        .map_err(|fault| invalid_setting(format!("--key-file: cannot read {file}: {fault}")))?;
    let key = key.trim();
    if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        let detail =
            format!("--key-file: {file} holds no key; give one line of visible ASCII characters");
        return Err(invalid_setting(detail));
    }
    Ok(key.to_owned())
}

fn invalid_setting(detail: String) -> SwitchError {
    SwitchError::new(ErrorKind::SettingInvalid, detail)
}

fn print_failure(failure: &AdminFailure, is_json: bool) {
    let code = error_spec(failure.error.kind).code;
    if is_json {
        print_json(&serde_json::json!({
            "error": { "code": code, "message": failure.error.detail },
            "faults": failure.faults.faults,
            "standing": failure.current.as_ref().and_then(|reply| reply.standing.as_ref()),
        }));
        return;
    }
    eprintln!(
        "savoryctl: {}: {}",
        error_spec(failure.error.kind).text,
        failure.error.detail
    );
    show_document_faults(&failure.faults);
    if let Some(current) = failure
        .current
        .as_ref()
        .and_then(|reply| reply.standing.as_ref())
    {
        eprintln!(
            "the current version is {}, changed by {} at {} (Unix ms); get, merge and put it again",
            current.version, current.changed_by, current.changed_wall_ms
        );
    }
}
