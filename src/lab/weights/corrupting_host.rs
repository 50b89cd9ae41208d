//! `savory-lab spoiling-host` runs an unmodified host process, but corrupts some of the chunks in
//! its responses, as a faulty link or faulty memory would.

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use clap::{Arg, ArgMatches, Command, value_parser};
use http::StatusCode;
use rand::RngExt;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::middleware::{Next, from_fn};
use volo_http::server::response::IntoResponse;

use crate::host::run_host_with_middleware;
use crate::transport::read_body;

const BODY_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Percentage of the sent chunks that are corrupted.
static CORRUPT_PERCENT: AtomicU64 = AtomicU64::new(0);

/// The `spoiling-host` subcommand.
pub(crate) fn corrupting_host_command() -> Command {
    Command::new("spoiling-host")
        .about("Runs savory-host and corrupts some of the chunks that it sends")
        .arg(
            Arg::new("spoilt-percent")
                .long("spoilt-percent")
                .value_name("NUMBER")
                .required(true)
                .value_parser(value_parser!(u64))
                .help("Percentage of the sent chunks that are corrupted"),
        )
        .arg(
            Arg::new("settings")
                .num_args(0..)
                .trailing_var_arg(true)
                .allow_hyphen_values(true)
                .help("Settings passed on to savory-host"),
        )
}

/// Runs the `spoiling-host` subcommand.
pub(crate) fn run_corrupting_host(matches: &ArgMatches) -> ExitCode {
    let percent = matches.get_one::<u64>("spoilt-percent").copied();
    CORRUPT_PERCENT.store(percent.unwrap_or(0), Ordering::Relaxed);
    let settings = matches.get_many::<String>("settings").unwrap_or_default();
    let arguments = std::iter::once("savory-host".to_owned()).chain(settings.cloned());
    run_host_with_middleware(arguments, |routes| routes.layer(from_fn(corrupt_chunk)))
}

/// Middleware that flips a bit in the last byte of a chunk response with probability
/// `CORRUPT_PERCENT`.
async fn corrupt_chunk(context: &mut ServerContext, request: Request, next: Next) -> Response {
    let is_chunk = request.uri().path().contains("/chunk/");
    let response = next.run(context, request).await.into_response();
    let is_chosen = rand::rng().random_range(0..100) < CORRUPT_PERCENT.load(Ordering::Relaxed);
    if !is_chunk || !is_chosen || response.status() != StatusCode::OK {
        return response;
    }
    let (head, body) = response.into_parts();
    let bytes = read_body(body, BODY_BYTES_MAX).await.unwrap_or_default();
    let mut corrupt = bytes.to_vec();
    if let Some(last) = corrupt.last_mut() {
        *last ^= 1;
    }
    Response::from_parts(head, Body::from(Bytes::from(corrupt)))
}
