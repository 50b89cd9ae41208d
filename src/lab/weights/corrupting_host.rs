//! `savory-lab spoiling-host`: the host process as it is, but with some of the chunks that it sends
//! spoilt on their way out, as a bad link or bad memory would.

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

/// Chunks that are spoilt, in percent.
static SPOILT_PERCENT: AtomicU64 = AtomicU64::new(0);

/// The subcommand.
pub(crate) fn corrupting_host_command() -> Command {
    Command::new("spoiling-host")
        .about("Runs savory-host with some of the chunks that it sends spoilt")
        .arg(
            Arg::new("spoilt-percent")
                .long("spoilt-percent")
                .value_name("NUMBER")
                .required(true)
                .value_parser(value_parser!(u64))
                .help("Chunks that are spoilt"),
        )
        .arg(
            Arg::new("settings")
                .num_args(0..)
                .trailing_var_arg(true)
                .allow_hyphen_values(true)
                .help("Settings of savory-host"),
        )
}

/// Runs it.
pub(crate) fn run_corrupting_host(matches: &ArgMatches) -> ExitCode {
    let percent = matches.get_one::<u64>("spoilt-percent").copied();
    SPOILT_PERCENT.store(percent.unwrap_or(0), Ordering::Relaxed);
    let settings = matches.get_many::<String>("settings").unwrap_or_default();
    let arguments = std::iter::once("savory-host".to_owned()).chain(settings.cloned());
    run_host_with_middleware(arguments, |routes| routes.layer(from_fn(spoil)))
}

async fn spoil(context: &mut ServerContext, request: Request, next: Next) -> Response {
    let is_chunk = request.uri().path().contains("/chunk/");
    let reply = next.run(context, request).await.into_response();
    let is_hit = rand::rng().random_range(0..100) < SPOILT_PERCENT.load(Ordering::Relaxed);
    if !is_chunk || !is_hit || reply.status() != StatusCode::OK {
        return reply;
    }
    let (head, body) = reply.into_parts();
    let bytes = read_body(body, BODY_BYTES_MAX).await.unwrap_or_default();
    let mut spoilt = bytes.to_vec();
    if let Some(last) = spoilt.last_mut() {
        *last ^= 1;
    }
    Response::from_parts(head, Body::from(Bytes::from(spoilt)))
}
